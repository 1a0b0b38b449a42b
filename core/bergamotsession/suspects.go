package bergamotsession

// Suspects attributes failures of targets to the content of requests.
type Suspects interface {
	Suspect(content [32]byte) bool
	Confirmed(content [32]byte) bool
	Strike(content [32]byte, instance string, alone bool)
	Clear(content [32]byte)
}
