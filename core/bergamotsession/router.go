package bergamotsession

import "bergamotspur/core/bergamotroute"

// Router chooses paths and counts the requests in flight on them; Finish ends the count of a plan that Route returned.
type Router interface {
	Route(w bergamotroute.Query) (p bergamotroute.Plan, ok bool)
	Finish(p bergamotroute.Plan)
}
