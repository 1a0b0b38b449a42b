package bergamotrelay

import (
	"context"
	"time"

	"bergamotspur/core/bergamotcluster"
)

const (
	// maxStartupWait is how long a request waits for the first configuration and the first list of runners. An entry that
	// starts has them after 100 ms, and 400 ms after the start of all entries; its callers find no other entry then.
	maxStartupWait = 600 * time.Millisecond
	// startupPollInterval is the time between two looks at the control state.
	startupPollInterval = 5 * time.Millisecond
)

// StartupWait holds requests that arrive before an entry can serve any.
type StartupWait struct {
	Clock Clock
	Views Views
}

// View returns the latest control state, at once or as soon as it has a configuration and a list of runners. It returns
// the state without them after maxStartupWait.
func (s *StartupWait) View(ctx context.Context) *bergamotcluster.View {
	deadline := s.Clock.Now().Add(maxStartupWait)
	for {
		v := s.Views.View()
		if v.Config() != nil && v.HasRunnerList() || !s.Clock.Now().Before(deadline) {
			return v
		}
		select {
		case <-ctx.Done():
			return v
		case <-s.Clock.After(startupPollInterval):
		}
	}
}
