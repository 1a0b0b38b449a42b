// Package bergamotreplication carries the queries of bergamotmirror between entries over HTTP.
package bergamotreplication
