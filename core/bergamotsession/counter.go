package bergamotsession

// Counter counts events by name.
type Counter interface {
	Count(name string)
}
