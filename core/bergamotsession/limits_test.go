package bergamotsession_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestLimits guards against a recovery that takes more than a few seconds, and against heartbeats that keep a stuck
// attempt alive. Time is virtual, so that the time between two tokens is exact.
func TestLimits(t *testing.T) {
	table := map[string]struct {
		script script
		maxGap time.Duration
		paths  int
	}{
		"reconnects a frozen connection after the silence timeout":               {script{position: 20, freeze: true}, time.Second, 1},
		"fails over from a silent target after three connections":                {script{position: 20, mute: true}, 3 * time.Second, 2},
		"fails over from a stuck target with heartbeats after the stall timeout": {script{position: 20, hang: true}, 3 * time.Second, 2},
	}
	for _, name := range slices.Sorted(maps.Keys(table)) {
		t.Run(name, func(t *testing.T) {
			c := table[name]
			synctest.Test(t, func(t *testing.T) {
				e, f, out := newSimEngine(1, faults{}), newFixture(3), &collector{}
				e.script = c.script
				s := f.session(e)
				defer s.Wait()
				last, maxGap := time.Now(), time.Duration(0)
				out.onToken = func(int) { maxGap, last = max(maxGap, time.Since(last)), time.Now() }
				x := newExchange(f, "s", simTokens, out)
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				if err := s.Handle(ctx, x); err != nil {
					t.Fatal(err)
				}
				if maxGap != c.maxGap || len(x.Path()) != c.paths {
					t.Fatalf("%s between two tokens over %d paths, expected %s over %d", maxGap, len(x.Path()), c.maxGap, c.paths)
				}
			})
		})
	}
}
