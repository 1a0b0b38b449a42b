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
			s, c, _ := settled(runners)
			b.ReportAllocs()
			for b.Loop() {
				c.Reconcile(s)
				s.view()
			}
		})
	}
}

// BenchmarkEvent measures the pass after the report of a runner.
func BenchmarkEvent(b *testing.B) {
	for _, runners := range []int{40, 400, 3100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			s, c, names := settled(runners)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				name := names[n%len(names)]
				c.apply(s, name, s.now, NewReport(n%9, 0, false, holdingsOf(name)), nil)
				c.Reconcile(s)
				s.view()
				n++
			}
		})
	}
}

// BenchmarkList measures the pass after a read of the list in which one instance is new.
func BenchmarkList(b *testing.B) {
	for _, runners := range []int{40, 400, 3100} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			s, c, _ := settled(runners)
			var list listed
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

// BenchmarkSpread measures how even 840 entries load 3,100 runners, over all models.
func BenchmarkSpread(b *testing.B) {
	var e evenness
	for b.Loop() {
		e = spreadOf(840, 3100, testModels)
	}
	b.ReportMetric(e.ratio, "max/mean")
	b.ReportMetric(float64(e.unused), "unused-runners")
}

// BenchmarkProbes reports the probes of an entry over an hour of virtual time after the start.
func BenchmarkProbes(b *testing.B) {
	for _, runners := range []int{40, 400, 3100, 12000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			var sent, members int
			for b.Loop() {
				m := newSim(runners, 1)
				m.run(20 * time.Minute)
				sent, members = m.run(time.Hour), len(m.visible())
			}
			b.ReportMetric(float64(sent)/3600, "probes/s")
			b.ReportMetric(float64(members), "members")
		})
	}
}

// settled returns a state in which every runner has been probed and none is due.
func settled(runners int) (s *State, c *Probes, names []string) {
	m := newSim(runners, 1)
	m.run(150 * time.Second)
	s, c = m.state, m.probes
	c.Reconcile(s)
	s.view()
	names = s.Instances()
	return s, c, names
}
