package bergamotcapacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawRunners returns runners of up to three data centres with any layers, some of them impossible.
func drawRunners(t *rapid.T, layers int) (out []Runner) {
	for range rapid.IntRange(0, 12).Draw(t, "runners") {
		from := rapid.IntRange(0, layers-1).Draw(t, "from")
		r := Runner{
			Centre: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "centre"), From: from, To: rapid.IntRange(from+1, layers).Draw(t, "to"),
			Capacity: float64(rapid.IntRange(1, 1000).Draw(t, "capacity")), Used: float64(rapid.IntRange(0, 1200).Draw(t, "used")), Reported: true,
		}
		out = append(out, r)
	}
	return out
}

// TestFreeIsNotTooLow guards against an estimate that is lower than what fits, which would hold back requests for which there is
// room: it places as much as it can and compares.
func TestFreeIsNotTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 4
		runners := drawRunners(t, layers)
		e := (&Estimator{CountWindow: time.Second}).Estimate(Input{Now: time.Unix(1, 0), Layers: layers, Runners: runners, Entries: 1, TypicalTokens: 1})
		free := make([]float64, len(runners))
		for n, r := range runners {
			free[n] = freeMemory(r)
		}
		placed := map[string]float64{}
		for range 40 {
			centre, size := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "where"), float64(rapid.IntRange(1, 100).Draw(t, "size"))
			next := slices.Clone(free)
			ok := true
			for l := range layers {
				n := slices.IndexFunc(runners, func(r Runner) bool { return r.Centre == centre && r.From <= l && l < r.To })
				for n >= 0 && n < len(runners) && (runners[n].Centre != centre || runners[n].From > l || l >= runners[n].To || next[n] < size) {
					n++
				}
				if n < 0 || n == len(runners) {
					ok = false
					break
				}
				next[n] -= size
			}
			if ok {
				free = next
				placed[centre] += size
			}
		}
		for _, c := range e.Centres() {
			if placed[c.Name()] > c.Free()*1.000001 {
				t.Fatalf("%v tokens fit in data centre %q, estimated are %v", placed[c.Name()], c.Name(), c.Free())
			}
			delete(placed, c.Name())
		}
		if e.IsKnown(time.Unix(1, 0), time.Second) && len(placed) > 0 {
			t.Fatalf("%v fits where the estimate has no path", placed)
		}
	})
}

// TestShares guards against shares that are negative, that add up to more than the free capacity, or that grow at once because
// other entries are lost or because the entries have not been counted after a start.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 4
		m := &Estimator{CountWindow: DefaultCountWindow}
		now := time.Unix(1000, 0)
		in := Input{Now: now, Layers: layers, Runners: drawRunners(t, layers), TypicalTokens: 10}
		if m.Estimate(in).IsKnown(now, time.Second) {
			t.Fatal("the estimate is used although the entries have not been counted")
		}
		largest, since := 0, now
		for range 10 {
			in.Now = in.Now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			in.Entries = rapid.SampledFrom([]int{1, 2, 4, 28, 71, 840}).Draw(t, "entries")
			e := m.Estimate(in)
			if in.Entries >= largest || in.Now.Sub(since) > DefaultCountWindow {
				largest, since = in.Entries, in.Now
			}
			if e.Share() < 0 || e.Share()*float64(in.Entries) > e.Free()*1.000001 {
				t.Fatalf("share %v of %v for %d entries", e.Share(), e.Free(), in.Entries)
			}
			if e.Entries() < in.Entries || in.Now.Sub(since) <= DefaultCountWindow && e.Entries() < largest {
				t.Fatalf("the share is for %d entries, %v after there were %d", e.Entries(), in.Now.Sub(since), largest)
			}
		}
	})
}

// estimateFor returns a published estimate of one data centre with one runner that is used by a part.
func estimateFor(now time.Time, entries int, capacity, used float64) *Estimate {
	return (&Estimator{CountWindow: time.Second}).Estimate(Input{
		Now: now, Layers: 1, Entries: entries, TypicalTokens: 10,
		Runners: []Runner{{Centre: "a", To: 1, Capacity: capacity, Used: used * capacity, Reported: true}},
	})
}

// TestGrantsAreBounded guards against entries that together admit much more than there is: with one and the same estimate, less
// urgent requests get at most the free capacity, again as much while IdleShare of the capacity is free, and one request for
// each entry.
func TestGrantsAreBounded(t *testing.T) {
	for _, entries := range []int{4, 28, 71, 840} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				now := time.Unix(1000, 0)
				capacity := float64(entries * rapid.IntRange(1, 200).Draw(t, "capacity"))
				e := estimateFor(now, entries, capacity, rapid.Float64Range(0, 1.1).Draw(t, "used"))
				thresholds := DefaultThresholds()
				granted, largest := 0.0, 0.0
				for range min(entries, 30) { // the other entries admit no more than these do on average
					a := NewAdmission(thresholds)
					a.Publish(now, e)
					a.Arrive(now, Request{Priority: 0, Tokens: min(10, capacity)}) // makes more urgent requests expected
					urgent := a.inFlight
					for range rapid.IntRange(0, 20).Draw(t, "requests") {
						size := float64(rapid.IntRange(1, 60).Draw(t, "size"))
						if d, _ := a.Arrive(now, Request{Workspace: "w", Priority: 2, Tokens: size}); d.Action() == Admit {
							largest = max(largest, d.Request().Tokens)
						}
					}
					granted += a.inFlight - urgent
				}
				granted *= float64(entries) / float64(min(entries, 30))
				bound := e.Free() + largest*float64(entries)
				if e.Free() >= thresholds.IdleShare*e.Total() {
					bound += thresholds.BorrowShares * e.Free()
				}
				if granted > bound*1.000001 {
					t.Fatalf("%v of %v granted, the bound is %v", granted, e.Free(), bound)
				}
			})
		})
	}
}

// TestQueueOrderAndLedger guards against a request that waits although it is first and fits, against one that overtakes a more
// urgent one, and against tokens of requests that have ended or left, in any order of steps.
func TestQueueOrderAndLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		a := NewAdmission(DefaultThresholds())
		var running []Decision
		var waiting []*Ticket
		collect := func() {
			waiting = slices.DeleteFunc(waiting, func(w *Ticket) bool {
				select {
				case <-w.Granted():
					if w.Decision().Action() == Admit {
						running = append(running, w.Decision())
					}
					return true
				default:
					return false
				}
			})
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				r := Request{
					Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), Priority: rapid.IntRange(-1, 12).Draw(t, "priority"),
					Tokens: rapid.SampledFrom([]float64{-5, 0, 1, 10, 90, 1e30}).Draw(t, "tokens"), Arrived: now,
					TargetLatency: time.Duration(rapid.IntRange(0, 1000).Draw(t, "target")) * time.Millisecond, Resumes: rapid.IntRange(0, 9).Draw(t, "resumes") == 0,
				}
				d, ticket := a.Arrive(now, r)
				switch {
				case ticket != nil:
					if d.MaxWait() > 500*time.Millisecond {
						t.Fatalf("waits up to %v", d.MaxWait())
					}
					waiting = append(waiting, ticket)
				case d.Action() == Admit:
					running = append(running, d)
				case r.Priority <= 0:
					t.Fatalf("urgent: %v", d)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) > 0 {
					n := rapid.IntRange(0, len(running)-1).Draw(t, "which")
					a.End(now, running[n])
					running = slices.Delete(running, n, n+1)
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) > 0 {
					n := rapid.IntRange(0, len(waiting)-1).Draw(t, "which")
					if rapid.Bool().Draw(t, "expires") {
						if d := a.Expire(now, waiting[n]); d.Action() == Admit {
							running = append(running, d)
						}
					} else {
						a.Cancel(now, waiting[n])
					}
					waiting = slices.Delete(waiting, n, n+1)
				}
			},
			"publish": func(t *rapid.T) {
				a.Publish(now, estimateFor(now, rapid.IntRange(0, 3).Draw(t, "entries"), 100, rapid.Float64Range(0, 1.2).Draw(t, "used")))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				a.Publish(now, estimateFor(now, 1, 100, 1))
			},
			"": func(t *rapid.T) {
				collect()
				sum, tokens := 0.0, 0.0
				for _, d := range running {
					sum += d.charge
				}
				if diff := sum - a.inFlight; diff > 1e-6 || diff < -1e-6 || a.count != len(running) {
					t.Fatalf("%v tokens in %d requests, recorded are %v in %d", sum, len(running), a.inFlight, a.count)
				}
				for _, w := range waiting {
					tokens += w.request.Tokens
				}
				recorded, count := 0.0, 0
				for _, w := range a.waitingBy {
					recorded, count = recorded+w.tokens, count+w.count
				}
				if diff := tokens - recorded; diff > 1 || diff < -1 || count != len(waiting) || a.queue.Len() != count || len(a.waiting) != count {
					t.Fatalf("%v tokens wait in %d requests, recorded are %v in %d", tokens, len(waiting), recorded, count)
				}
				if next, _ := a.next(now); next != nil {
					t.Fatalf("a request waits although it fits: %v", a.decide(now, next.request))
				}
			},
		})
	})
}
