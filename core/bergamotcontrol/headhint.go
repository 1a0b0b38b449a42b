package bergamotcontrol

// HeadHint is the event that a peer knows a head with this version. It only triggers a read of the head, since a peer
// may be wrong and an approved bundle is not always the one that was rolled out. Both sides of a heartbeat apply it,
// like read repair (see "Read repair" in the Apache Cassandra documentation); BenchmarkConvergence measures the effect.
type HeadHint int64

// Apply requests a read of the head when the version is newer than the one in force.
func (e HeadHint) Apply(s *State) {
	if s.bundle == nil || int64(e) > s.bundle.Version() {
		s.headHinted = true
	}
}
