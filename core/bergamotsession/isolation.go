package bergamotsession

import "context"

// Isolation lets a suspect run alone on its instances.
type Isolation interface {
	// Reserved returns the instances on which a suspect runs alone or waits to run; the caller must not change the map.
	Reserved() map[string]bool
	// Acquire waits until the instances may be used and returns a function that releases them; with alone set, it
	// waits until no other request of this entry runs on them. It returns the error of ctx when that ends first.
	Acquire(ctx context.Context, instances []string, alone bool) (release func(), err error)
}
