// Package bergamotsetting reads and checks the settings of one process.
package bergamotsetting
