// Package bergamotwire exchanges JSON over HTTP with targets and the platform and never retries a request by itself.
package bergamotwire
