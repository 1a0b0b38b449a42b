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

// TestGeneratedFailures guards the three promises of at-most-once calls against any order of kills, pauses, lost replies,
// delays, duplicates, repeats and settlements: at most one run of a key, a true run state, and stored answers equal to
// the answer of the run.
func TestGeneratedFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		defer m.stopAll()
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"start":  m.drawStart,
			"go on":  m.drawNext,
			"go on2": m.drawNext, // most actions let a process go on
			"go on3": m.drawNext,
			"finish": m.drawFinish,
			"late":   func(*rapid.T) { m.deliver() },
			"time":   m.drawTime,
			"kill":   m.drawKill,
			"queue":  m.drawQueue,
			"settle": m.drawSettle,
		})
	})
}

func (m *model) drawStart(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	// Few keys make repeats and collisions frequent.
	name := rapid.SampledFrom([]string{"kitchen/k1", "kitchen/k1", "kitchen/k2", "bakery/k1"}).Draw(t, "name")
	workspace, key, _ := strings.Cut(name, "/")
	m.start(e, workspace, key)
}

// drawNext lets one process do its operation; the others stay paused.
func (m *model) drawNext(t *rapid.T) {
	m.reap()
	if len(m.processes) == 0 {
		t.Skip("no process")
	}
	p := rapid.SampledFrom(m.processes).Draw(t, "process")
	faults := []fault{faultOK, faultOK, faultOK, faultDown, faultLost, faultLate}
	switch p.op {
	case "call":
		faults = append(faults, faultReject)
	case "swap":
		faults = append(faults, faultDouble)
	}
	p.next(rapid.SampledFrom(faults).Draw(t, "fault of "+p.op))
}

// drawFinish lets one process go on to its end without a fault.
func (m *model) drawFinish(t *rapid.T) {
	m.reap()
	if len(m.processes) == 0 {
		t.Skip("no process")
	}
	for p := rapid.SampledFrom(m.processes).Draw(t, "process"); !p.ended; {
		p.next(faultOK)
	}
}

func (m *model) drawTime(t *rapid.T) {
	m.clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, granted / 2, granted + margin}).Draw(t, "time"))
}

// drawKill ends an entry with all its processes and memory.
func (m *model) drawKill(t *rapid.T) {
	n := rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
	e := m.entries[n]
	m.kill(e)
	m.entries[n] = m.newEntry(e.name)
}

// drawQueue lets an entry write one queued conclusion.
func (m *model) drawQueue(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	m.reap()
	if slices.ContainsFunc(m.processes, func(p *process) bool { return p.entry == e && p.queue }) {
		t.Skip("the queue has one writer")
	}
	p := spawn(e, func(ctx context.Context) { e.claims.Step(ctx) })
	p.queue = true
	m.processes = append(m.processes, p)
}

// drawSettle is an operator who has checked the service's journal and that the claiming process has ended.
func (m *model) drawSettle(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	row := m.store.Row(bergamotclaim.RowKey("kitchen", key))
	if row.Revision() == 0 || len(m.late) > 0 {
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

// check compares every outcome with the service's journal.
func (m *model) check(t *rapid.T) {
	if m.most > 2 {
		t.Fatalf("one call made %d writes to the table", m.most)
	}
	runs := map[string]run{}
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

func (m *model) deliver() {
	late := m.late
	m.late = nil
	for _, f := range late {
		f()
	}
	m.store.Deliver()
}

func (m *model) reap() {
	m.processes = slices.DeleteFunc(m.processes, func(p *process) bool { return p.ended })
}

func (m *model) kill(e *entryModel) {
	e.killed = true
	for _, p := range m.processes {
		if p.entry == e && !p.ended {
			p.next(faultOK)
		}
	}
	m.reap()
}

func (m *model) stopAll() {
	for _, e := range m.entries {
		m.kill(e)
	}
}
