// Package bergamotsoak holds the fault soak: a test that runs entries as separate processes on fakes of the platform,
// injects faults drawn from a seed, and checks guarantees against what callers and runners observed.
package bergamotsoak
