package bergamotsession

// Suspects attributes failures of targets to the content of requests.
type Suspects interface {
	IsSuspect(contents ...[32]byte) bool
	IsConfirmed(contents ...[32]byte) bool
	RecordFailure(contents [][32]byte, instance string, alone bool)
	Clear(contents ...[32]byte)
}
