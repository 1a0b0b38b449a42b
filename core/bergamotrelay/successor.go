package bergamotrelay

import (
	"maps"

	"bergamotspur/core/bergamotroute"
)

// successorFunc returns a function that takes a retry for another path than p, without the runner at an address, or for any path if
// the address is empty, while less than the given share of the budget is used. It reports whether there is such a path and the budget allows it: a runner that is only slow or
// pauses still serves the caller. The function is nil if the route allows no further attempt.
func (s *streamState) successorFunc(p bergamotroute.Plan) func(address string, share float64) bool {
	if !s.x.Route().IsRetryable() || !s.canAttempt(s.possibleRuns+1) {
		return nil
	}
	h := s.handler
	query := s.pathQuery(h.Views.View())
	failed := maps.Clone(s.avoid) // s.avoid changes once the attempt has ended, when the function may still run
	return func(address string, share float64) bool {
		if h.Quarantine.isConfirmed(s.x) {
			return false
		}
		current := query
		current.Fleet, current.Avoid = h.Views.View().Fleet(), maps.Clone(failed)
		if address != "" {
			current.Avoid[runnerAt(p, address)] = true
		}
		other, ok := h.Router.Route(current)
		if ok {
			h.Router.Release(other, query.Tokens)
		}
		return ok && h.Budget.TakeWithin(query.Service, share)
	}
}

// reportStall returns a function that reports a runner of a path on which an attempt waits, also if the attempt goes on: other
// requests take other paths meanwhile.
func (s *streamState) reportStall(p bergamotroute.Plan) func(address string, cause error) {
	h := s.handler
	return func(address string, cause error) {
		name := runnerAt(p, address)
		if i, ok := h.Views.View().Fleet().Instance(name); ok && !i.Failed() {
			h.Router.Avoid(name, avoidDuration)
			h.Observer.RunnerFailed(name, stallFailure(address, cause).Error())
		}
	}
}
