package bergamotcontrol

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamottest"
)

// movingHead is a source whose head the benchmark moves to another bundle.
type movingHead struct{ bundle *bergamotbundle.Bundle }

func (h *movingHead) Head(_ context.Context, current *bergamotbundle.Bundle) (*bergamotbundle.Bundle, error) {
	if current != nil && current.Version() >= h.bundle.Version() {
		return nil, nil
	}
	return h.bundle, nil
}

// convergence is the result of simulateConvergence.
type convergence struct {
	median, last time.Duration // from the rollout until half or all of the entries have put the bundle in force
	reads        float64       // reads/s over the whole run
}

// simulateConvergence simulates 840 entries in virtual time. With hints, each entry contacts one random peer every second,
// as heartbeats do, and the one with the older version receives a hint.
func simulateConvergence(period time.Duration, hints bool, seed uint64) (c convergence) {
	const entries, step, rolledAt, end = 840, 10 * time.Millisecond, 20 * time.Second, 40 * time.Second
	random := rand.New(rand.NewPCG(seed, 7))
	first, second := bergamottest.EmptyBundle(1), bergamottest.EmptyBundle(2)
	source := &movingHead{bundle: first}
	heads, states, contact := make([]*HeadReader, entries), make([]*State, entries), make([]time.Duration, entries)
	for n := range entries {
		heads[n], states[n] = newHeadReader(source), stateAt(0, 1)
		heads[n].Period, heads[n].Random = period, random.Float64
		contact[n] = time.Duration(random.Int64N(int64(time.Second)))
	}
	var delays []time.Duration
	reads := 0
	for at := time.Duration(0); at < end; at += step {
		if at == rolledAt {
			source.bundle = second
		}
		for n, s := range states {
			s.now = time.Unix(1000, 0).Add(at)
			if hints && at >= contact[n] {
				contact[n] += time.Second
				peer := states[random.IntN(entries)]
				HeadHint(s.bundle.Version()).Apply(peer)
				HeadHint(peer.bundle.Version()).Apply(s)
			}
			before := s.bundle.Version()
			for _, task := range heads[n].Reconcile(s) {
				task.Run(context.Background()).Apply(s)
				reads++
			}
			if s.bundle.Version() > before {
				delays = append(delays, at-rolledAt)
			}
		}
	}
	slices.Sort(delays)
	return convergence{median: delays[len(delays)/2], last: delays[len(delays)-1], reads: float64(reads) / end.Seconds()}
}

// BenchmarkConvergence measures in virtual time how fast entries put a bundle in force, with and without hints.
func BenchmarkConvergence(b *testing.B) {
	for _, period := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second} {
		for _, hints := range []bool{false, true} {
			b.Run(fmt.Sprintf("period=%s/hints=%v", period, hints), func(b *testing.B) {
				var sum convergence
				for n := range b.N {
					c := simulateConvergence(period, hints, uint64(n))
					sum.median += c.median
					sum.last = max(sum.last, c.last)
					sum.reads += c.reads
				}
				b.ReportMetric(float64(sum.median.Milliseconds())/float64(b.N), "median-ms")
				b.ReportMetric(float64(sum.last.Milliseconds()), "last-ms")
				b.ReportMetric(sum.reads/float64(b.N), "reads/s")
			})
		}
	}
}
