package bergamotsession_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bergamotspur/core/bergamotrequest"
)

// generatedSeed makes every run draw the same cases, unless another seed is asked for.
const generatedSeed = "20261204"

// TestGeneratedFailures guards against any mix of kills, losses, stalls, delays, repeated and crossed replies
// that gives a caller a wrong token, a normal end without the whole answer, a recovery without an end, or a
// "not run" that the journal contradicts. Time is virtual.
func TestGeneratedFailures(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(generatedSeed); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		chance := rapid.Float64Range(0, 0.08)
		f := faults{
			kill: chance.Draw(rt, "kill"), lose: chance.Draw(rt, "lose"), stall: chance.Draw(rt, "stall"),
			delay: chance.Draw(rt, "delay"), repeat: chance.Draw(rt, "repeat"), cross: chance.Draw(rt, "cross"),
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = simulate(seed, f) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// longest is the longest recovery: 6 attempts, each with the time to the first token and commands sent twice.
const longest = 6 * (9 + 3 + 5*2 + 1) * time.Second

// simulate runs one request against generated failures and compares the outcome with the journal.
func simulate(seed uint64, f faults) error {
	e, w, out := newSim(seed, f), newWorld(8), &collector{}
	s := w.session(e)
	defer s.Wait()
	begin, last := time.Now(), time.Now()
	var gap time.Duration
	out.each = func(int) { gap, last = max(gap, time.Since(last)), time.Now() }
	err := s.Handle(context.Background(), newExchange(w, "s", simTokens, out))
	for n, token := range out.got {
		if want := following(out.got[:n]); token != want {
			return fmt.Errorf("token %d is %d, expected %d", n, token, want)
		}
	}
	if gap > longest {
		return fmt.Errorf("%s passed between two tokens, %s in all", gap, time.Since(begin))
	}
	if err == nil {
		if len(out.got) != simTokens {
			return fmt.Errorf("normal end after %d tokens", len(out.got))
		}
		return nil
	}
	var refusal *bergamotrequest.Refusal
	if !errors.As(err, &refusal) {
		return fmt.Errorf("error without a refusal: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch refusal.RunState() {
	case bergamotrequest.RunNo:
		if e.journal["s"] > 0 || len(e.started) > 0 {
			return fmt.Errorf("not run, but the journal has %d tokens and %d starts", e.journal["s"], len(e.started))
		}
	case bergamotrequest.RunYes:
		if e.journal["s"] == 0 {
			return errors.New("run, but the journal is empty")
		}
	default:
	}
	return nil
}
