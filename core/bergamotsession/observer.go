package bergamotsession

// Observer takes what an attempt learned about an instance; its methods must not block.
type Observer interface {
	Refused(instance string) // the instance refused a connection
	Leaving(instance string) // the instance answered that it is leaving
}
