package bergamotcontrol

// HeadHint is the event that a peer knows a head with this version. It only makes the entry read the head, since a peer
// may be wrong and an approved bundle need not be the one that was rolled out. Both sides of a heartbeat apply it, as
// in "Read repair (Apache Cassandra documentation)"; BenchmarkConvergence measures the effect.
type HeadHint int64

// Apply requests a read of the head when the version is newer than the one in force.
func (e HeadHint) Apply(s *State) {
	if s.bundle == nil || int64(e) > s.bundle.Version() {
		s.headHinted = true
	}
}
