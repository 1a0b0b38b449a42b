// Package bergamotstep provides the filter chain that all front ends share.
package bergamotstep
