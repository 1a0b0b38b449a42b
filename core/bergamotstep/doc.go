// Package bergamotstep defines the filter chain mechanism that the chains of all front ends share.
package bergamotstep
