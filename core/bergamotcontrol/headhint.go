package bergamotcontrol

// HeadHint is the event that a peer knows of a head with this version. It only makes the entry read the head:
// a peer may be wrong, and an approved bundle need not be the one that was rolled. Both sides of a contact post
// it, as in "Read repair (Apache Cassandra documentation)": BenchmarkConvergence shows the gain.
type HeadHint int64

// Apply asks for a read when the version is newer than the one in force.
func (e HeadHint) Apply(s *State) {
	if s.bundle == nil || int64(e) > s.bundle.Version() {
		s.hinted = true
	}
}
