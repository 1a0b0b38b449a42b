package bergamotcluster

import "time"

// enterEra records that a table is of another era than before, as its reader has found out. The first table of an era tells
// the controllers of the other rows.
func (s *State) enterEra(era int64) {
	if era != s.era {
		s.era, s.restoredAt = era, s.now
	}
}

// resumedAt returns when the store last came back after an outage, or was found to be restored from an older copy.
func (s *State) resumedAt() time.Time {
	if s.restoredAt.After(s.outageEnd) {
		return s.restoredAt
	}
	return s.outageEnd
}
