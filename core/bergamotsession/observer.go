package bergamotsession

// Observer receives what an attempt learns about an instance; its methods must not block.
type Observer interface {
	Refused(instance string) // the instance refused a connection
	Leaving(instance string) // the instance replied that it is leaving
}
