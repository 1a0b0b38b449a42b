// Package bergamotsuspect attributes failures of targets to the requests that ran there.
package bergamotsuspect
