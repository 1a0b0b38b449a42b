package bergamotload

import (
	"context"
	"math"
	"sync"
	"time"
)

const (
	// busyInterval is the time between two reports of a runner whose memory is used by more than busyUtilization. A
	// request occupies its memory for one to three seconds.
	busyInterval = 400 * time.Millisecond
	// idleInterval is the same for all other runners, unless they are so many that maxIdleRate is exceeded.
	idleInterval    = 1200 * time.Millisecond
	busyUtilization = 0.3
	// limitedInterval replaces both for runners that name how many requests they take: each report may count.
	limitedInterval = 2 * time.Second
	// maxIdleRate is the largest number of reports of idle runners in a second. One takes 80 us of processor time.
	maxIdleRate = 250
	// minChange is the change of the utilization from which a report is passed on; smaller ones do not affect the choice
	// of a path.
	minChange = 0.04
	// republishInterval is the time after which the report of a busy runner is passed on although it has not changed.
	republishInterval = 800 * time.Millisecond
	monitorPeriod     = 100 * time.Millisecond // time between two looks at the runners that are due
	askTimeout        = 250 * time.Millisecond // for the report of a runner
)

// Target is a runner to ask for reports.
type Target struct {
	name    string
	address string
	limited bool
}

// NewTarget returns the runner of that name; address is its host and port.
func NewTarget(name, address string) Target { return Target{name: name, address: address} }

// WithLimit returns a copy for a runner that names how many requests it takes, and is asked more rarely.
func (t Target) WithLimit() Target {
	t.limited = true
	return t
}

// Name returns the name of the runner.
func (t Target) Name() string { return t.name }

// Address returns the host and port of the runner.
func (t Target) Address() string { return t.address }

// Source asks runners for their reports.
type Source interface {
	// Usage returns the memory that requests occupy and the memory for requests, in token-layers.
	Usage(ctx context.Context, t Target) (used, total float64, err error)
}

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Monitor asks the runners of a data centre for reports while this entry is the one that does so.
type Monitor struct {
	Clock     Clock
	Source    Source
	Targets   func() []Target                   // runners to ask, none while another entry asks them
	StoreTime func() (t time.Duration, ok bool) // current time of the store's clock
	OnReports func(reports []Report)            // called with the reports to pass on

	mu       sync.Mutex
	runners  map[string]runnerState
	inFlight sync.WaitGroup
}

// runnerState is what the monitor knows about a runner.
type runnerState struct {
	nextAsk     time.Time
	asking      bool
	utilization float64 // at the last report
	published   float64 // utilization at the last report that was passed on, negative for none
	publishedAt time.Time
}

// Run asks runners until ctx ends; it returns the error of ctx.
func (m *Monitor) Run(ctx context.Context) error {
	defer m.inFlight.Wait()
	for {
		m.Step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.Clock.After(monitorPeriod):
		}
	}
}

// Step starts to ask the runners that are due.
func (m *Monitor) Step(ctx context.Context) {
	for _, t := range m.due() {
		m.inFlight.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			used, total, err := m.Source.Usage(bounded, t)
			if r, ok := m.observe(t, used, total, err); ok {
				m.OnReports([]Report{r})
			}
		})
	}
}

// Wait waits until all runners that were asked have answered.
func (m *Monitor) Wait() { m.inFlight.Wait() }

// due returns the runners to ask now and schedules the next reports of these.
func (m *Monitor) due() (out []Target) {
	targets, now := m.Targets(), m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	idle := max(idleInterval, time.Duration(float64(len(targets))/maxIdleRate*float64(time.Second)))
	known := make(map[string]runnerState, len(targets))
	for _, t := range targets {
		s, ok := m.runners[t.name]
		if !ok {
			s.published = -1
		}
		if !s.asking && !now.Before(s.nextAsk) {
			s.asking, s.nextAsk = true, now.Add(idle)
			switch {
			case t.limited:
				s.nextAsk = now.Add(max(idle, limitedInterval))
			case s.utilization >= busyUtilization:
				s.nextAsk = now.Add(busyInterval)
			}
			out = append(out, t)
		}
		known[t.name] = s
	}
	m.runners = known
	return out
}

// observe records the answer of a runner and returns the report to pass on, if it says something new.
func (m *Monitor) observe(t Target, used, total float64, err error) (r Report, ok bool) {
	storeTime, hasTime := m.StoreTime()
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	s, known := m.runners[t.name]
	if !known {
		return r, false
	}
	s.asking = false
	defer func() { m.runners[t.name] = s }()
	if err != nil || total <= 0 || !hasTime {
		return r, false
	}
	s.utilization = used / total
	if !t.limited && s.utilization >= busyUtilization && s.nextAsk.After(now.Add(busyInterval)) {
		s.nextAsk = now.Add(busyInterval)
	}
	changed := math.Abs(s.utilization-s.published) >= minChange
	if !changed && (s.utilization < busyUtilization || now.Sub(s.publishedAt) < republishInterval) {
		return r, false
	}
	s.published, s.publishedAt = s.utilization, now
	return NewReport(t.name, used, storeTime), true
}
