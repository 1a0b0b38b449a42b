package bergamotentry

import (
	"bergamotspur/core/bergamotmember"
)

// entryPeers tells the limits what is known of the other entries.
type entryPeers struct{ entry *Entry }

// Live returns how many entries serve, this one included.
func (p entryPeers) Live() int { return p.entry.View().Entries() }

// Demand returns the requests a second of a workspace at this entry and at all entries, zero when not known.
func (p entryPeers) Demand(workspace string) (own, all float64) {
	s, ok := p.entry.View().Demand(workspace)
	if !ok {
		return 0, 0
	}
	return float64(s.Own()), float64(s.Total())
}

// demand returns the requests a second of each workspace at this entry.
func (e *Entry) demand() (out []bergamotmember.Demand) {
	for name, rate := range e.load.limiter.DemandByWorkspace(e.clock.Now()) {
		if rate >= 1 {
			out = append(out, bergamotmember.NewDemand(bergamotmember.WorkspaceID(name), uint32(rate)))
		}
	}
	return out
}
