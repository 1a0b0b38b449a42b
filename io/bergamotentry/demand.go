package bergamotentry

import (
	"bergamotspur/core/bergamotmember"
)

// admissionPeers tells the rate limiter and the queue about the other entries.
type admissionPeers struct{ entry *Entry }

// Live returns the number of live entries, this one included.
func (p admissionPeers) Live() int { return p.entry.View().EntryCount() }

// Demand returns the requests per second of a workspace at this entry and at all entries, zero when unknown.
func (p admissionPeers) Demand(workspace string) (own, all float64) {
	s, ok := p.entry.View().Demand(workspace)
	if !ok {
		return 0, 0
	}
	return float64(s.Own()), float64(s.Total())
}

// demand returns the requests per second of each workspace at this entry, without those below 1.
func (e *Entry) demand() (out []bergamotmember.Demand) {
	for name, rate := range e.trafficControl.limiter.DemandByWorkspace(e.clock.Now()) {
		if rate >= 1 {
			out = append(out, bergamotmember.NewDemand(bergamotmember.WorkspaceID(name), uint32(rate)))
		}
	}
	return out
}
