package bergamotsession

import "bergamotspur/core/bergamotroute"

// Router chooses paths and keeps count of the work on them.
type Router interface {
	Route(w bergamotroute.Query) (p bergamotroute.Plan, ok bool)
	Finish(p bergamotroute.Plan)
}
