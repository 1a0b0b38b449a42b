// Package bergamotsession produces one answer through one or more attempts over planned paths, checking every token.
package bergamotsession
