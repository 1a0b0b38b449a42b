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

// generatedSeed makes every run draw the same cases, unless -rapid.seed sets another seed.
const generatedSeed = "20261204"

// TestGeneratedFailures guards against a wrong token, a normal end before the answer is complete, a recovery that does
// not end, and a refusal that says "not run" although the journal shows a run. It mixes killed instances, lost messages,
// stalls, delays, repeated tokens and tokens of other sessions. Time is virtual.
func TestGeneratedFailures(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set(generatedSeed); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		probability := rapid.Float64Range(0, 0.08)
		f := faults{
			kill: probability.Draw(rt, "kill"), lose: probability.Draw(rt, "lose"), stall: probability.Draw(rt, "stall"),
			delay: probability.Draw(rt, "delay"), repeat: probability.Draw(rt, "repeat"), cross: probability.Draw(rt, "cross"),
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		var err error
		synctest.Test(t, func(*testing.T) { err = simulate(seed, f) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}

// maxRecovery is the longest recovery: 6 attempts, each with the time to the first token and commands sent twice.
const maxRecovery = 6 * (9 + 3 + 5*2 + 1) * time.Second

// simulate runs one request with generated faults and compares the outcome with the journal.
func simulate(seed uint64, probabilities faults) error {
	e, f, out := newSimEngine(seed, probabilities), newFixture(8), &collector{}
	s := f.session(e)
	defer s.Wait()
	begin, last := time.Now(), time.Now()
	var maxGap time.Duration
	out.onToken = func(int) { maxGap, last = max(maxGap, time.Since(last)), time.Now() }
	err := s.Handle(context.Background(), newExchange(f, "s", simTokens, out))
	for n, token := range out.received {
		if want := nextToken(out.received[:n]); token != want {
			return fmt.Errorf("token %d is %d, expected %d", n, token, want)
		}
	}
	if maxGap > maxRecovery {
		return fmt.Errorf("%s passed between two tokens, %s in all", maxGap, time.Since(begin))
	}
	if err == nil {
		if len(out.received) != simTokens {
			return fmt.Errorf("normal end after %d tokens", len(out.received))
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
