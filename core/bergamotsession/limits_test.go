package bergamotsession_test

import (
	"context"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// TestLimits guards against a recovery that takes longer than seconds, and against heartbeats that keep a
// stuck attempt alive. Time is virtual, so that the gaps between two tokens are exact.
func TestLimits(t *testing.T) {
	table := map[string]struct {
		script script
		gap    time.Duration
		paths  int
	}{
		"a frozen connection is replaced after the silence limit":   {script{at: 20, freeze: true}, time.Second, 1},
		"a silent target is given up after three connections":       {script{at: 20, mute: true}, 3 * time.Second, 2},
		"a stuck target with heartbeats ends at the limit of stall": {script{at: 20, hang: true}, 3 * time.Second, 2},
	}
	for _, name := range slices.Sorted(maps.Keys(table)) {
		t.Run(name, func(t *testing.T) {
			c := table[name]
			synctest.Test(t, func(t *testing.T) {
				e, w, out := newSim(1, faults{}), newWorld(3), &collector{}
				e.script = c.script
				s := w.session(e)
				defer s.Wait()
				last, gap := time.Now(), time.Duration(0)
				out.each = func(int) { gap, last = max(gap, time.Since(last)), time.Now() }
				x := newExchange(w, "s", simTokens, out)
				ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
				defer cancel()
				if err := s.Handle(ctx, x); err != nil {
					t.Fatal(err)
				}
				if gap != c.gap || len(x.Path()) != c.paths {
					t.Fatalf("%s between two tokens over %d paths, expected %s over %d", gap, len(x.Path()), c.gap, c.paths)
				}
			})
		})
	}
}
