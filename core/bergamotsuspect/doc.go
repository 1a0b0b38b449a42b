// Package bergamotsuspect attributes failures of instances to the content of the requests that ran on them, and runs
// suspected requests in isolation.
package bergamotsuspect
