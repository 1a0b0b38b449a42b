package bergamotroute

import (
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Query describes the path that a request needs.
type Query struct {
	Pipeline bergamotbundle.Pipeline
	Fleet    *bergamotfleet.Fleet
	Bundle   *bergamotbundle.Bundle // source of kinds and policy; nil for defaults
	Avoid    map[string]bool        // instances that must not be used
	Tokens   int                    // number of tokens still to be generated, as far as known
	Prompt   string                 // prompt whose beginning may be cached, empty to ignore prefix caches
}
