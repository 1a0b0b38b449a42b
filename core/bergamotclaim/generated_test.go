package bergamotclaim_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotrequest"
)

// TestGeneratedFailures checks three guarantees of at-most-once calls under random sequences of kills, pauses, lost
// replies, delays, duplicates, repeats and settlements: a call runs at most once for each key, the run state in a
// refusal is correct, and a replayed answer equals the answer of the run.
func TestGeneratedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		defer m.killAll()
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"start":  m.drawStart,
			"go on":  m.drawNext,
			"go on2": m.drawNext, // weights this action higher than the others
			"go on3": m.drawNext,
			"finish": m.drawFinish,
			"late":   func(*rapid.T) { m.deliverDelayed() },
			"time":   m.drawTime,
			"kill":   m.drawKill,
			"queue":  m.drawQueue,
			"settle": m.drawSettle,
		})
	})
}

func (m *model) drawStart(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	// With only a few keys, repeats and collisions are frequent.
	name := rapid.SampledFrom([]string{"kitchen/k1", "kitchen/k1", "kitchen/k2", "bakery/k1"}).Draw(t, "name")
	workspace, key, _ := strings.Cut(name, "/")
	m.startCall(e, workspace, key)
}

// drawNext lets one process perform its operation while the others stay paused.
func (m *model) drawNext(t *rapid.T) {
	m.removeEnded()
	if len(m.processes) == 0 {
		t.Skip("no process")
	}
	p := rapid.SampledFrom(m.processes).Draw(t, "process")
	faults := []fault{faultOK, faultOK, faultOK, faultDown, faultReplyLost, faultDelayed}
	switch p.operation {
	case "call":
		faults = append(faults, faultRejected)
	case "swap":
		faults = append(faults, faultDuplicated)
	}
	p.advance(rapid.SampledFrom(faults).Draw(t, "fault of "+p.operation))
}

// drawFinish runs one process to its end without a fault.
func (m *model) drawFinish(t *rapid.T) {
	m.removeEnded()
	if len(m.processes) == 0 {
		t.Skip("no process")
	}
	for p := rapid.SampledFrom(m.processes).Draw(t, "process"); !p.ended; {
		p.advance(faultOK)
	}
}

func (m *model) drawTime(t *rapid.T) {
	m.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, callTimeout / 2, callTimeout + margin}).Draw(t, "time"))
}

// drawKill stops all processes of an entry and replaces it with a new one without its state in memory.
func (m *model) drawKill(t *rapid.T) {
	n := rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
	e := m.entries[n]
	m.kill(e)
	m.entries[n] = m.newEntry(e.name)
}

// drawQueue lets an entry write one queued conclusion.
func (m *model) drawQueue(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	m.removeEnded()
	if slices.ContainsFunc(m.processes, func(p *process) bool { return p.entry == e && p.isQueueWriter }) {
		t.Skip("the queue has one writer")
	}
	p := startProcess(e, func(ctx context.Context) { e.claims.WriteNext(ctx) })
	p.isQueueWriter = true
	m.processes = append(m.processes, p)
}

// drawSettle settles a call as an operator would who has checked the service's journal and that the claiming process
// has ended.
func (m *model) drawSettle(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	row := m.store.Row(bergamotclaim.RowKey("kitchen", key))
	if row.Revision() == 0 || len(m.delayedCalls) > 0 {
		t.Skip("no such call, or requests are still on their way")
	}
	record, err := bergamotclaim.DecodeRecord(row.Value())
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range m.processes {
		if !p.ended && !p.entry.killed {
			t.Skip("a process may still dispatch")
		}
	}
	_ = m.entries[0].claims.Settle(t.Context(), bergamotclaim.Settlement{
		Workspace: "kitchen", Key: key, Attempt: record.Attempt(), Operator: "mari", Ran: m.ran("kitchen/" + key), Ended: true,
	})
}

// check compares each outcome with the service's journal.
func (m *model) check(t *rapid.T) {
	if m.maxWrites > 2 {
		t.Fatalf("one call made %d writes to the table", m.maxWrites)
	}
	runs := map[string]serviceRun{}
	for _, r := range m.journal {
		if first, ok := runs[r.name]; ok {
			t.Fatalf("%s ran twice, for %s and %s", r.name, first.id, r.id)
		}
		runs[r.name] = r
	}
	for _, c := range m.calls {
		if !c.ended {
			continue
		}
		r, ran := runs[c.name]
		if c.err == nil {
			if !ran || string(c.reply.Body()) != r.answer || c.reply.IsReplay() == (c.id == r.id) {
				t.Fatalf("%s got %q (replayed %v), run: %+v", c.id, c.reply.Body(), c.reply.IsReplay(), r)
			}
			continue
		}
		f := bergamotrequest.AsRefusal(c.err)
		switch {
		case f.RunState() == runNo && ran && r.id == c.id:
			t.Fatalf("%s was told that it did not run, but it did: %s", c.id, f)
		case f.RunState() == runYes && !ran:
			t.Fatalf("%s was told that it ran, but it did not: %s", c.id, f)
		}
	}
}

func (m *model) deliverDelayed() {
	delayedCalls := m.delayedCalls
	m.delayedCalls = nil
	for _, f := range delayedCalls {
		f()
	}
	m.store.Deliver()
}

func (m *model) removeEnded() {
	m.processes = slices.DeleteFunc(m.processes, func(p *process) bool { return p.ended })
}

func (m *model) kill(e *entryModel) {
	e.killed = true
	for _, p := range m.processes {
		if p.entry == e && !p.ended {
			p.advance(faultOK)
		}
	}
	m.removeEnded()
}

func (m *model) killAll() {
	for _, e := range m.entries {
		m.kill(e)
	}
}
