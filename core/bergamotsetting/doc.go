// Package bergamotsetting parses and validates the settings file of one entry.
package bergamotsetting
