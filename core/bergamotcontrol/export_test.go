package bergamotcontrol

import (
	"context"
	"time"
)

// SetNow sets the time that the loop sets in production.
func (s *State) SetNow(now time.Time) { s.now = now }

// Run runs the task, as the loop does on a goroutine.
func (t Task) Run(ctx context.Context) Event { return t.run(ctx) }
