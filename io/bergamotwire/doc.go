// Package bergamotwire sends JSON over HTTP to targets and the platform without repeating requests by itself.
package bergamotwire
