// Package bergamotsoak holds the fault soak: entries as separate processes in front of stand-ins of the platform, with
// faults drawn from a seed, and promises that are checked from what callers and runners see.
package bergamotsoak
