// Package bergamotreplication carries the queries of bergamotreplica between entries over HTTP.
package bergamotreplication
