package bergamotcapacity

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures the decision about a less urgent request and its end, at 71 entries with 11,000 workspaces.
func BenchmarkDecision(b *testing.B) {
	now := time.Unix(1000, 0)
	a := NewAdmission(DefaultThresholds())
	a.Publish(now, estimateFor(now, 71, 1e6, 0.5))
	var workspaces []string
	for n := range 11_000 {
		workspaces = append(workspaces, fmt.Sprint("workspace-", n))
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		now = now.Add(time.Microsecond)
		d, _ := a.Arrive(now, Request{Workspace: workspaces[n%len(workspaces)], Priority: n % 3, Tokens: 100, Arrived: now, TargetLatency: time.Second})
		a.End(now, d)
		if n%10_000 == 0 {
			a.Publish(now, estimateFor(now, 71, 1e6, 0.5))
		}
	}
}

// BenchmarkEstimate measures an estimate for a fleet in which 10 runners each hold all layers together, in 5 data centres.
func BenchmarkEstimate(b *testing.B) {
	for _, n := range []int{98, 3100} {
		var runners []Runner
		for i := range n {
			runners = append(runners, Runner{
				Centre: fmt.Sprint("dc", i/10%5), From: i % 10 * 8, To: i%10*8 + 8, Capacity: 1e5, Used: float64(i % 7 * 1e4), Reported: true,
			})
		}
		b.Run(fmt.Sprint("runners-", n), func(b *testing.B) {
			b.ReportAllocs()
			m := &Estimator{CountWindow: DefaultCountWindow}
			for b.Loop() {
				m.Estimate(Input{Now: time.Unix(1, 0), Layers: 80, Runners: runners, Entries: 71, TypicalTokens: 900})
			}
		})
	}
}
