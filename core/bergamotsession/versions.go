package bergamotsession

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Versions tells which version of a pipeline's model the instances serve.
type Versions interface {
	// VersionAvoiding returns the version when some instances turned out not to hold what they had reported.
	VersionAvoiding(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet, avoid map[string]bool) string
}
