package bergamotsession

// Suspects attributes failures of targets to the content of requests.
type Suspects interface {
	IsSuspect(content [32]byte) bool
	IsConfirmed(content [32]byte) bool
	RecordFailure(content [32]byte, instance string, alone bool)
	Clear(content [32]byte)
}
