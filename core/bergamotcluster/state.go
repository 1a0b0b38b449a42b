package bergamotcluster

import (
	"context"
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotloop"
)

// deadTime is how long a runner must not have answered before its layers are placed elsewhere: one check that fails
// after a doubt. Shorter times move layers after a single lost packet.
const deadTime = 450 * time.Millisecond

// Task is slow work that a controller wants done outside the control goroutine.
type Task = bergamotloop.Task[*State]

// Event is an input to the control state.
type Event = bergamotloop.Event[*State]

// EventFunc is a function used as an Event.
type EventFunc = bergamotloop.EventFunc[*State]

// Controller reconciles one part of the control state.
type Controller = bergamotloop.Controller[*State]

// NewTask returns a task; of tasks with the same name only one runs at a time. The event may be nil.
func NewTask(name string, run func(ctx context.Context) Event) Task {
	return bergamotloop.NewTask[*State](name, run)
}

// State is the control state of one entry; only the control goroutine touches it.
type State struct {
	now       time.Time
	config    *bergamotconfig.Config
	confirmed time.Duration // on the clock that counts suspended time, 0 before the first confirmation
	runners   map[string]bergamotfleet.Instance
	listed    bool                 // the list of runners has been read
	joined    time.Time            // when the last runner was added
	left      time.Time            // when the last runner began to leave
	lapsed    map[string]time.Time // runners whose entry is missing since an outage, and when they count as gone
	failed    map[string]failure   // runners that do not answer
	fleet     *bergamotfleet.Fleet // nil when a runner has changed since it was built
	resumed   time.Time            // when reads of the store last succeeded after an outage
	grant     bergamotlease.Grant
	entries   int
	rank      int  // place of this entry among all, from 0
	ranked    bool // the entries have been counted after all of a fresh fleet have registered
}

// failure is a runner that does not answer.
type failure struct {
	since time.Time
	due   time.Time // when it is asked again
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		runners: map[string]bergamotfleet.Instance{}, lapsed: map[string]time.Time{},
		failed: map[string]failure{}, entries: 1,
	}
}

// Now returns the time at which the control loop woke up.
func (s *State) Now() time.Time { return s.now }

// Wake records the time at which the control loop woke up.
func (s *State) Wake(now time.Time) { s.now = now }

// Config returns the configuration in force, nil before the first is known.
func (s *State) Config() *bergamotconfig.Config { return s.config }

// SetConfig puts c in force and tells whether it did; a version that is not newer is ignored.
func (s *State) SetConfig(c *bergamotconfig.Config) bool {
	if s.config != nil && c.Version() <= s.config.Version() {
		return false
	}
	s.config = c
	return true
}

// Confirm records that the configuration was current at a time of the clock that counts suspended time.
func (s *State) Confirm(at time.Duration) { s.confirmed = max(s.confirmed, at) }

// Runner returns the runner of that name.
func (s *State) Runner(name string) (i bergamotfleet.Instance, ok bool) {
	i, ok = s.runners[name]
	return i, ok
}

// Put adds or replaces a runner as the list shows it. A new process under a known name has lost what the old one
// held, so nothing of the old one is kept.
func (s *State) Put(spec bergamotfleet.Spec) {
	old, known := s.runners[spec.Name]
	switch {
	case !known || old.Born() != spec.Born || old.Address() != spec.Address:
		s.joined = s.now
		delete(s.failed, spec.Name)
		spec.Joined = s.now
	default:
		spec.Joined = old.Joined()
		if spec.Leaving && !old.Leaving() {
			s.left = s.now
		}
		// An entry that was seen to leave stays so: a draining runner never returns to service.
		spec.Leaving = spec.Leaving || old.Leaving()
	}
	delete(s.lapsed, spec.Name)
	_, spec.Failed = s.failed[spec.Name]
	s.runners[spec.Name] = bergamotfleet.NewInstance(spec)
	s.fleet = nil
}

// Remove forgets a runner.
func (s *State) Remove(name string) {
	delete(s.runners, name)
	delete(s.failed, name)
	delete(s.lapsed, name)
	s.fleet = nil
}

// Fail records that a runner does not answer and tells whether that is new; it gets no work until a check succeeds.
func (s *State) Fail(name string) bool {
	_, known := s.runners[name]
	_, failed := s.failed[name]
	if !known || failed {
		return false
	}
	s.failed[name] = failure{since: s.now, due: s.now}
	s.mark(name, true)
	return true
}

// Restore records that a runner answers again.
func (s *State) Restore(name string) {
	if _, ok := s.failed[name]; ok {
		delete(s.failed, name)
		s.mark(name, false)
	}
}

// dead tells whether a runner has not answered for a while, so that others should hold its layers.
func (s *State) dead(name string) bool {
	f, ok := s.failed[name]
	return ok && s.now.Sub(f.since) >= deadTime
}

func (s *State) mark(name string, failed bool) {
	if i, ok := s.runners[name]; ok {
		spec := i.Spec()
		spec.Failed = failed
		s.runners[name] = bergamotfleet.NewInstance(spec)
		s.fleet = nil
	}
}

// Fleet returns all runners; it is rebuilt only after a change.
func (s *State) Fleet() *bergamotfleet.Fleet {
	if s.fleet == nil {
		list := make([]bergamotfleet.Instance, 0, len(s.runners))
		for _, i := range s.runners {
			list = append(list, i)
		}
		s.fleet = bergamotfleet.NewFleet(list)
	}
	return s.fleet
}

// View returns a read-only copy.
func (s *State) View() *View {
	return &View{
		config: s.config, confirmed: s.confirmed, fleet: s.Fleet(), entries: s.entries, at: s.now, listed: s.listed,
		holder: s.grant.Valid(s.now),
	}
}
