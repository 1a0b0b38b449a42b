package bergamotadmission

// Peers tells what is known of the other entries.
type Peers interface {
	// Live returns how many entries serve, this one included.
	Live() int
	// Demand returns the requests a second of a workspace at this entry and at all entries, zero when not known.
	Demand(workspace string) (own, all float64)
}

// Alone is the view of an entry without peers.
type Alone struct{}

// Live returns 1.
func (Alone) Live() int { return 1 }

// Demand returns zeros.
func (Alone) Demand(string) (own, all float64) { return 0, 0 }

// even is the part of a limit that is divided evenly; the rest follows demand. The even part lets a caller begin at an
// entry that has seen no demand yet, and bounds the error of late hints.
const even = 0.5

// Share returns the part of a workspace's limit that this entry may use. With the same hints everywhere, the shares
// of all entries add up to 1.
func Share(p Peers, workspace string) float64 {
	live := float64(max(p.Live(), 1))
	own, all := p.Demand(workspace)
	if all <= 0 || own < 0 || own > all {
		return 1 / live
	}
	return even/live + (1-even)*own/all
}
