package bergamotsetting

// Seed is another entry that the settings name as a first contact. Its name is the first DNS name of its certificate.
type Seed struct {
	name    string
	address string
}

// Name returns the unique name of the entry.
func (s Seed) Name() string { return s.name }

// Address returns the address on which the entry listens for other entries, as host:port.
func (s Seed) Address() string { return s.address }
