package bergamotsession

import "bergamotspur/core/bergamotroute"

// Router chooses paths and counts the requests in flight on them; Release ends the count of a plan that Route returned.
type Router interface {
	Route(q bergamotroute.Query) (p bergamotroute.Plan, ok bool)
	Release(p bergamotroute.Plan)
}
