package bergamotcontrol

import (
	"time"

	"bergamotspur/core/bergamotloop"
)

const minWait = bergamotloop.MinWait

// SetNow sets the time that the loop sets in production.
func (s *State) SetNow(now time.Time) { s.now = now }

// pause returns how long the loop waits when no event comes.
func (l *Loop) pause(s *State) time.Duration {
	l.configure()
	return l.loop.NextWait(s)
}
