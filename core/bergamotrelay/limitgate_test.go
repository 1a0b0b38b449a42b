//go:build !race

package bergamotrelay

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotrequest"
)

// The specs of the gate run in bubbles of testing/synctest, and not with the race detector, as those of bergamotcluster.

// meteredPermits gives out permits of processes at the rates that these name, and stores one of each at most.
type meteredPermits struct {
	mu    sync.Mutex
	rates map[string]float64   // by process
	last  map[string]time.Time // when the last permit of a process was taken
}

func (m *meteredPermits) Any() bool                     { return true }
func (m *meteredPermits) IsExhausted(string) bool       { return false }
func (m *meteredPermits) IsLimited(process string) bool { _, ok := m.Rate(process); return ok }
func (m *meteredPermits) Return(string)                 {}

func (m *meteredPermits) Rate(process string) (rate float64, ok bool) {
	rate, ok = m.rates[process]
	return rate, ok
}

func (m *meteredPermits) MayTake(process string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	rate, limited := m.rates[process]
	return !limited || rate > 0 && time.Since(m.last[process]).Seconds() >= 1/rate
}

func (m *meteredPermits) Take(process string) bool {
	if !m.MayTake(process) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.last[process] = time.Now()
	return true
}

func (m *meteredPermits) Await(_ context.Context, process string, _ time.Duration) bool {
	time.Sleep(2 * time.Millisecond)
	return m.MayTake(process)
}

type gateCase struct {
	rates      map[string]float64 // of the runners x, y and z; those that are missing have no limit
	priorities []int              // of requests that come at the same time, a millisecond apart
	streams    bool
	want       string        // for each request its priority, how it ended and after how many tenths of a second, in the order of their ends
	minReturn  time.Duration // until the first one that is refused returns, 0 for any
}

func same(rate float64) map[string]float64 {
	return map[string]float64{"x": rate, "y": rate, "z": rate}
}

// The load is that of LIMIT: some or all runners of a service say that they take few requests a second, while as many come as before.
// Guards against requests that wait although another runner has no limit, less urgent ones that go first, refusals that come late, and times
// to return at which all come back together.
func TestLimitGate(t *testing.T) {
	cases := map[string]gateCase{
		"a call goes to a runner without a limit":                {rates: map[string]float64{"x": 0, "y": 0}, priorities: []int{5, 5}, want: "5 answered 0, 5 answered 0"},
		"a stream goes to a runner without a limit":              {rates: map[string]float64{"x": 0, "z": 0}, priorities: []int{5, 5}, streams: true, want: "5 answered 0, 5 answered 0"},
		"calls wait for a moment, the urgent ones first":         {rates: same(1.2), priorities: []int{5, 5, 5, 7, 0, 3}, want: "5 answered 0, 5 answered 0, 5 answered 0, 0 answered 8, 3 answered 8, 7 answered 8"},
		"streams wait for a moment, the urgent ones first":       {rates: same(1.2), priorities: []int{5, 5, 5, 7, 0, 3}, streams: true, want: "5 answered 0, 5 answered 0, 5 answered 0, 0 answered 8, 3 answered 8, 7 answered 8"},
		"calls that would wait for too long are refused":         {rates: same(0.4), priorities: []int{5, 5, 5, 5, 5}, want: "5 answered 0, 5 answered 0, 5 answered 0, 5 limit no 0, 5 limit no 12", minReturn: 500 * time.Millisecond},
		"streams that would wait for too long are refused":       {rates: same(0.4), priorities: []int{5, 5, 5, 5, 5}, streams: true, want: "5 answered 0, 5 answered 0, 5 answered 0, 5 limit no 0, 5 limit no 12", minReturn: 500 * time.Millisecond},
		"calls are refused at once where runners take nothing":   {rates: same(0), priorities: []int{5, 5}, want: "5 limit no 0, 5 limit no 0"},
		"streams are refused at once where runners take nothing": {rates: same(0), priorities: []int{5, 5}, streams: true, want: "5 limit no 0, 5 limit no 0"},
	}
	for _, name := range slices.Sorted(maps.Keys(cases)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { runGate(t, cases[name]) }) })
	}
}

func runGate(t *testing.T, c gateCase) {
	permits := &meteredPermits{rates: map[string]float64{}, last: map[string]time.Time{}}
	for name, rate := range c.rates {
		permits.rates[name+"@0"] = rate
	}
	service, spec := plain, bergamotconfig.RouteSpec{Type: bergamotconfig.RouteNonIdempotent, MaxAttempts: 1}
	if c.streams {
		service, spec = model, bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, MaxAttempts: 2}
	}
	first := newRig(route(spec), service, reply{events: 3})
	first.router.Limits = permits
	gate := &LimitGate{Clock: bergamotclock.Real{}, Permits: permits, Views: first.views, OnHeld: func(*Exchange, time.Duration, bool) {}}
	var mu sync.Mutex
	var ends []string
	var returns []time.Duration
	var pending sync.WaitGroup
	begin := time.Now()
	for _, priority := range c.priorities {
		spec.Priority = priority
		g := newRig(route(spec), service, reply{events: 3})
		g.router, g.views, g.gate = first.router, first.views, gate
		g.x.SetDeadline(time.Now().Add(20 * time.Second))
		pending.Go(func() {
			handle := g.call
			if c.streams {
				handle = g.stream
			}
			err := handle(context.Background())
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, fmt.Sprintf("%d %s %d", priority, outcomeOf(err), time.Since(begin)/(100*time.Millisecond)))
			if err != nil {
				returns = append(returns, time.Since(begin)+bergamotrequest.AsRefusal(err).RetryAfter())
			}
		})
		time.Sleep(time.Millisecond)
	}
	pending.Wait()
	if got := strings.Join(ends, ", "); got != c.want {
		t.Errorf("the requests end as %s, not as %s", got, c.want)
	}
	slices.Sort(returns)
	for i, after := range returns {
		if after <= c.minReturn || c.minReturn > 0 && i > 0 && after-returns[i-1] < 300*time.Millisecond {
			t.Errorf("the refused return at %v", returns)
		}
	}
}
