package bergamotroute

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Want describes the path that a request needs.
type Want struct {
	Pipeline bergamotbundle.Pipeline
	Fleet    *bergamotfleet.Fleet
	Bundle   *bergamotbundle.Bundle // kinds and policy; nil for defaults
	Avoid    map[string]bool        // instances that must not be used
	Tokens   int                    // tokens still to be generated, as far as is known
	Prompt   string                 // text for the model, empty when it has no cached prefix
}
