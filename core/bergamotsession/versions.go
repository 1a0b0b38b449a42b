package bergamotsession

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Versions selects the version of a pipeline's model that requests use.
type Versions interface {
	// VersionAvoiding returns the version to use when the instances in avoid do not hold what they had reported.
	VersionAvoiding(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet, avoid map[string]bool) string
}
