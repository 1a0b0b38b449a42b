// Package bergamotsession produces an answer through one or more attempts over planned paths and verifies every token.
package bergamotsession
