package bergamotcontrol

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPass measures a pass in which nothing is due.
func BenchmarkPass(b *testing.B) {
	for _, runners := range []int{40, 400, 3100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			s, c, _ := probedState(runners)
			b.ReportAllocs()
			for b.Loop() {
				c.Reconcile(s)
				s.view()
			}
		})
	}
}

// BenchmarkEvent measures a report of a runner and the pass after it.
func BenchmarkEvent(b *testing.B) {
	for _, runners := range []int{40, 400, 3100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			s, c, names := probedState(runners)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				name := names[n%len(names)]
				c.applyResult(s, name, s.now, NewReport(n%9, 0, false, holdingsOf(name)), nil)
				c.Reconcile(s)
				s.view()
				n++
			}
		})
	}
}

// BenchmarkList measures a read of the list with one new instance and the pass after it.
func BenchmarkList(b *testing.B) {
	for _, runners := range []int{40, 400, 3100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			s, c, _ := probedState(runners)
			var list listUpdate
			for n := range runners {
				list = append(list, runnerSpec(n))
			}
			b.ReportAllocs()
			n := runners
			for b.Loop() {
				n++
				list[0] = runnerSpec(n)
				list.Apply(s)
				c.Reconcile(s)
				s.view()
			}
		})
	}
}

// BenchmarkSpread reports how evenly 840 entries load 3,100 runners, over all models.
func BenchmarkSpread(b *testing.B) {
	var s loadSpread
	for b.Loop() {
		s = simulateSpread(840, 3100, testModels)
	}
	b.ReportMetric(s.maxToMean, "max/mean")
	b.ReportMetric(float64(s.unused), "unused-runners")
}

// BenchmarkProbes reports the probes of an entry in an hour of virtual time, 20 minutes after its start.
func BenchmarkProbes(b *testing.B) {
	for _, runners := range []int{40, 400, 3100, 12000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			var sent, members int
			for b.Loop() {
				m := newSim(runners, 1)
				m.run(20 * time.Minute)
				sent, members = m.run(time.Hour), len(m.visibleRunners())
			}
			b.ReportMetric(float64(sent)/3600, "probes/s")
			b.ReportMetric(float64(members), "members")
		})
	}
}

// probedState returns a state in which every runner has been probed and none is due, its controller and the names of the
// instances.
func probedState(runners int) (s *State, c *Probes, names []string) {
	m := newSim(runners, 1)
	m.run(150 * time.Second)
	s, c = m.state, m.probes
	c.Reconcile(s)
	s.view()
	names = s.InstanceNames()
	return s, c, names
}
