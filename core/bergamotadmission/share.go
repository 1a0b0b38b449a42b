package bergamotadmission

// Peers provides what this entry knows of the other entries.
type Peers interface {
	// Live returns the number of live entries, including this one.
	Live() int
	// Demand returns the requests per second of a workspace at this entry and at all entries, zeros if unknown.
	Demand(workspace string) (own, all float64)
}

// NoPeers is the Peers of a single entry.
type NoPeers struct{}

// Live returns 1.
func (NoPeers) Live() int { return 1 }

// Demand returns zeros: the demand is unknown.
func (NoPeers) Demand(string) (own, all float64) { return 0, 0 }

// evenFraction is the fraction of a limit that is divided evenly; the rest is divided by demand. The even part lets a
// workspace start at an entry that has not seen demand from it yet, and bounds the error of outdated demand reports.
const evenFraction = 0.5

// Share returns the fraction of the limits of a workspace that this entry may use. If all entries know the same demand,
// their shares add up to 1.
func Share(p Peers, workspace string) float64 {
	live := float64(max(p.Live(), 1))
	own, all := p.Demand(workspace)
	if all <= 0 || own < 0 || own > all {
		return 1 / live
	}
	return evenFraction/live + (1-evenFraction)*own/all
}
