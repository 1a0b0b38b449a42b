package bergamotcluster

import (
	"context"
	"time"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotloop"
)

// deadAfter is the time without an answer after which the layers of a failed runner are placed elsewhere. It leaves time
// for one check after the first failure; shorter times would move layers after a single lost packet.
const deadAfter = 450 * time.Millisecond

// Task is slow work that a controller hands off from the control goroutine.
type Task = bergamotloop.Task[*State]

// Event is an input to the control state.
type Event = bergamotloop.Event[*State]

// EventFunc is a function used as an Event.
type EventFunc = bergamotloop.EventFunc[*State]

// Controller reconciles one part of the control state.
type Controller = bergamotloop.Controller[*State]

// NewTask returns a task that calls run and then applies the event that it returns, which may be nil. Only one task of
// a name runs at a time.
func NewTask(name string, run func(ctx context.Context) Event) Task {
	return bergamotloop.NewTask[*State](name, run)
}

// State is the control state of one entry; only the control goroutine accesses it.
type State struct {
	now           time.Time
	config        *bergamotconfig.Config
	confirmedAt   time.Duration // on the clock that counts suspended time, 0 before the first confirmation
	runners       map[string]bergamotfleet.Instance
	hasRunnerList bool                 // whether the list of runners has been read
	lastJoined    time.Time            // when the last runner was added
	lastLeaving   time.Time            // when the last runner started leaving
	missing       map[string]time.Time // when to remove the runners whose rows are missing since an outage, by name
	failed        map[string]failure   // runners that do not answer, by name
	removed       removedProcesses     // processes of runners that were removed
	fleet         *bergamotfleet.Fleet // cache of Fleet, nil after a change of a runner
	lastResumed   time.Time            // when reads of a table last succeeded again after one that failed
	outageEnd     time.Time            // when reads of a table last succeeded again after an outage
	era           int64                // of the store, 0 before the first change of it
	restoredAt    time.Time            // when a table was first found to be of that era
	grant         bergamotlease.Grant  // placement lease
	leaseHolder   string               // address of its holder, empty if it is not known
	entryCount    int                  // entries that share the runners, including this one
	counted       bool                 // whether the entries have been counted
	linksLost     bool                 // this entry reaches runners over other entries only
	hubRank       int                  // position of this entry in the order of all hubs, from 0; -1 if it is none
}

// failure is the state of a runner that does not answer.
type failure struct {
	since     time.Time // when it was first found not to answer
	nextCheck time.Time // when to check the runner again
	checking  bool      // a check is in flight
	held      bool      // it was removed, and a restored table shows it again; a check must also find it healthy
	revision  int64     // of the row in that table
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		runners: map[string]bergamotfleet.Instance{}, missing: map[string]time.Time{},
		failed: map[string]failure{}, entryCount: 1, hubRank: -1,
	}
}

// Now returns the time at which the control loop woke up.
func (s *State) Now() time.Time { return s.now }

// SetTime sets the time at which the control loop woke up.
func (s *State) SetTime(now time.Time) { s.now = now }

// Config returns the configuration in force, nil before the first is known.
func (s *State) Config() *bergamotconfig.Config { return s.config }

// SetConfig puts c in force and reports whether it did; a version that is not newer is ignored. The order
// is the operator's own, so that a restore of the store from an older copy takes no version back.
func (s *State) SetConfig(c *bergamotconfig.Config) bool {
	if s.config != nil && c.Version() <= s.config.Version() {
		return false
	}
	s.config = c
	return true
}

// replaceConfig puts c in force, which has the version of the configuration in force.
func (s *State) replaceConfig(c *bergamotconfig.Config) { s.config = c }

// ConfirmConfig records that the configuration was current at a time of the clock that counts suspended time.
func (s *State) ConfirmConfig(at time.Duration) { s.confirmedAt = max(s.confirmedAt, at) }

// Runner returns the runner of that name.
func (s *State) Runner(name string) (i bergamotfleet.Instance, ok bool) {
	i, ok = s.runners[name]
	return i, ok
}

// PutRunner adds or replaces a runner. A new process under a known name has lost the layers and the state of the old
// one, so nothing of the old one is kept.
func (s *State) PutRunner(spec bergamotfleet.Spec) {
	old, known := s.runners[spec.Name]
	if known && old.StartTime() == spec.StartTime {
		// A draining process never returns to service, so an outdated row must not clear the flag.
		spec.Leaving = spec.Leaving || old.Leaving()
	} else if known {
		s.removed.add(old, s.now)
	}
	switch {
	case !known || old.StartTime() != spec.StartTime || old.Address() != spec.Address:
		s.lastJoined = s.now
		delete(s.failed, spec.Name)
		spec.Joined = s.now
	default:
		spec.Joined = old.Joined()
		if spec.Leaving && !old.Leaving() {
			s.lastLeaving = s.now
		}
	}
	_, spec.Failed = s.failed[spec.Name]
	s.runners[spec.Name] = bergamotfleet.NewInstance(spec)
	s.fleet = nil
}

// RemoveRunner deletes a runner; its process is remembered for some time.
func (s *State) RemoveRunner(name string) {
	if i, known := s.runners[name]; known {
		s.removed.add(i, s.now)
	}
	delete(s.runners, name)
	delete(s.failed, name)
	delete(s.missing, name)
	s.fleet = nil
}

// MarkFailed records that a runner does not answer and reports whether that is new. The runner gets no work until a
// check succeeds.
func (s *State) MarkFailed(name string) bool {
	_, known := s.runners[name]
	_, failed := s.failed[name]
	if !known || failed {
		return false
	}
	s.failed[name] = failure{since: s.now, nextCheck: s.now}
	s.setFailed(name, true)
	return true
}

// MarkLeaving records that a process of a runner leaves and reports whether that is new.
func (s *State) MarkLeaving(process string) bool {
	for name, i := range s.runners {
		if i.Process() == process && !i.Leaving() {
			spec := i.Spec()
			spec.Leaving = true
			s.runners[name], s.fleet, s.lastLeaving = bergamotfleet.NewInstance(spec), nil, s.now
			return true
		}
	}
	return false
}

// ClearFailed records that a runner answers again.
func (s *State) ClearFailed(name string) {
	if _, ok := s.failed[name]; ok {
		delete(s.failed, name)
		s.setFailed(name, false)
	}
}

// setLinksLost records whether this entry has lost its own links to the runners. When they work again, the runners that did not
// answer meanwhile get time for a check before they count as dead.
func (s *State) setLinksLost(lost bool) {
	s.linksLost = lost
	if lost {
		return
	}
	for name, f := range s.failed {
		f.since, f.nextCheck = s.now, s.now
		s.failed[name] = f
	}
}

// checksInFlight returns how many failed runners are being checked.
func (s *State) checksInFlight() (n int) {
	for _, f := range s.failed {
		if f.checking {
			n++
		}
	}
	return n
}

// endCheck records that the check of a runner has ended.
func (s *State) endCheck(name string) {
	if f, ok := s.failed[name]; ok {
		f.checking = false
		s.failed[name] = f
	}
}

// isDead reports whether a runner has not answered for so long that other runners should take its layers.
func (s *State) isDead(name string) bool {
	f, ok := s.failed[name]
	return ok && !s.linksLost && s.now.Sub(f.since) >= deadAfter
}

// setFailed updates the failed flag of a runner.
func (s *State) setFailed(name string, failed bool) {
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

// View returns a read-only copy of the state.
func (s *State) View() *View {
	return &View{
		config: s.config, confirmedAt: s.confirmedAt, fleet: s.Fleet(), entryCount: s.entryCount, takenAt: s.now, hasRunnerList: s.hasRunnerList,
		grant: s.grant, leaseHolder: s.leaseHolder, counted: s.counted,
	}
}
