//go:build !race

package bergamotcluster_test

import (
	"cmp"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmirror"
)

const (
	faultTime  = 7 * time.Second
	changeTime = 300 * time.Millisecond // between two changes of the configuration
	// normalReads is the number of reads of tables in three seconds without a fault, with these changes: 11 of the table
	// with the changes by each first hub, and four of the other one.
	normalReads = 45
)

type hubFaultCase struct {
	large bool // 840 entries in five data centres instead of 60 in three
	// fault acts on the hubs of a data centre. It returns the entries that need not have the changes in time.
	fault func(s *simulation, first, second *simEntry) (exempt []*simEntry)
	calls int // reads of tables in the first three seconds, 0 for twice those without a fault
}

// TestHubFaults guards against changes that are not in force at an entry two seconds after their acknowledgement, against a
// configuration that counts as current after that, tables that go back, entries that read through each other, and calls of
// many entries at once, whatever fails at the hubs of a data centre.
func TestHubFaults(t *testing.T) {
	one := func(f func(first, second *simEntry) *simEntry) func(*simulation, *simEntry, *simEntry) []*simEntry {
		return func(_ *simulation, first, second *simEntry) []*simEntry { return []*simEntry{f(first, second)} }
	}
	links := func(e *simEntry, store, peers simLink) *simEntry {
		e.setLinks(store, peers)
		return e
	}
	kill := func(e *simEntry) *simEntry {
		e.kill()
		return e
	}
	cases := map[string]hubFaultCase{
		"no fault":                   {fault: func(*simulation, *simEntry, *simEntry) []*simEntry { return nil }},
		"the first is killed":        {fault: one(func(first, _ *simEntry) *simEntry { return kill(first) })},
		"the first is frozen":        {fault: one(func(first, _ *simEntry) *simEntry { return links(first, linkSilent, linkSilent) })},
		"the first loses the store":  {fault: one(func(first, _ *simEntry) *simEntry { return links(first, linkSilent, linkUp) })},
		"the first is turned away":   {fault: one(func(first, _ *simEntry) *simEntry { return links(first, linkRefused, linkUp) })},
		"the first loses the others": {fault: one(func(first, _ *simEntry) *simEntry { return links(first, linkUp, linkSilent) })},
		"the second is killed":       {fault: one(func(_, second *simEntry) *simEntry { return kill(second) })},
		"the second is frozen":       {fault: one(func(_, second *simEntry) *simEntry { return links(second, linkSilent, linkSilent) })},
		"the second loses the store": {fault: one(func(_, second *simEntry) *simEntry { return links(second, linkSilent, linkUp) })},
		"the second is turned away":  {fault: one(func(_, second *simEntry) *simEntry { return links(second, linkRefused, linkUp) })},
		"the second loses the others": {
			fault: one(func(_, second *simEntry) *simEntry { return links(second, linkUp, linkSilent) }),
		},
		"both are killed": {calls: 340, fault: func(_ *simulation, first, second *simEntry) []*simEntry {
			return []*simEntry{kill(first), kill(second)}
		}},
		"both are frozen": {calls: 340, fault: func(_ *simulation, first, second *simEntry) []*simEntry {
			return []*simEntry{links(first, linkSilent, linkSilent), links(second, linkSilent, linkSilent)}
		}},
		"both are turned away": {fault: func(_ *simulation, first, second *simEntry) []*simEntry {
			return []*simEntry{links(first, linkRefused, linkUp), links(second, linkRefused, linkUp)}
		}},
		"the first of 840 entries is frozen": {
			large: true, fault: one(func(first, _ *simEntry) *simEntry { return links(first, linkSilent, linkSilent) }),
		},
		"the store is slow": {fault: func(s *simulation, _, _ *simEntry) []*simEntry {
			s.callTime.Store(int64(300 * time.Millisecond))
			return nil
		}},
		"the first slot changes hands": {fault: func(s *simulation, _, _ *simEntry) []*simEntry {
			s.store.takeSlot("c0/0", "e21")
			return nil
		}},
		"the slots are swapped": {fault: func(s *simulation, first, second *simEntry) []*simEntry {
			s.store.takeSlot("c0/0", second.name)
			s.store.takeSlot("c0/1", first.name)
			return nil
		}},
	}
	for name, c := range cases {
		offsets := []time.Duration{0, 270 * time.Millisecond, 610 * time.Millisecond}
		if c.large {
			offsets = offsets[1:2]
		}
		for _, offset := range offsets {
			t.Run(fmt.Sprint(name, " after ", offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runHubFault(t, c, offset) })
			})
		}
	}
}

func runHubFault(t *testing.T, c hubFaultCase, offset time.Duration) {
	g := gomega.NewWithT(t)
	entries, centres, settle, fault := 60, 3, 14*time.Second, faultTime
	if c.large {
		entries, centres, settle, fault = 840, 5, 9*time.Second, 3200*time.Millisecond
	}
	s := newSimulation(t, entries, centres, 4)
	defer s.stop()
	s.run(settle + offset)
	first, second := s.hubs("c0")
	role, source := second.reader.Role()
	g.Expect(role).To(gomega.Equal(bergamotmirror.RoleSecondHub))
	g.Expect(source).To(gomega.Equal(first.name))
	s.store.takeCalls()
	exempt := map[string]bool{}
	for _, e := range c.fault(s, first, second) {
		exempt[e.name] = true
	}
	acked := map[int64]time.Time{}
	begun := time.Now()
	for version := int64(2); time.Since(begun) < fault; version++ {
		s.store.put("op", "config", string([]byte{byte(version)}))
		acked[version] = time.Now()
		s.run(changeTime)
		if version == 2+10 {
			calls := s.store.takeCalls()
			t.Log("reads in three seconds:", calls["feed op"]+calls["feed servers"])
			g.Expect(calls["feed op"] + calls["feed servers"]).To(gomega.BeNumerically("<=", cmp.Or(c.calls, 2*normalReads)))
		}
	}
	s.run(2 * time.Second)
	worst, at := time.Duration(0), ""
	for _, name := range s.names {
		if exempt[name] {
			continue
		}
		for version, ack := range acked {
			if d := s.entries[name].delay(version, ack); d > worst {
				worst, at = d, fmt.Sprint(name, " version ", version)
			}
		}
	}
	t.Log("longest time to a change", worst, at)
	g.Expect(worst).To(gomega.BeNumerically("<=", 2*time.Second), at)
	if c.large {
		return
	}
	for name := range exempt {
		s.entries[name].setLinks(linkUp, linkUp)
	}
	s.run(5 * time.Second)
}

// delay returns how long after an acknowledgement the entry had a version of the configuration or a newer one, an hour if it
// has none.
func (e *simEntry) delay(version int64, acked time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := time.Hour
	for v, at := range e.applied {
		if v >= version {
			d = min(d, at.Sub(acked))
		}
	}
	return d
}

// TestOutageEnd guards against hubs that notice the end of an outage of the store late because one of them waits for the
// other, and against entries without the configuration two seconds after it.
func TestOutageEnd(t *testing.T) {
	for name, down := range map[string]simLink{"refused": linkRefused, "silent": linkSilent} {
		for _, offset := range []time.Duration{0, 130 * time.Millisecond, 290 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", ", offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					s := newSimulation(t, 30, 3, 4)
					defer s.stop()
					s.run(14 * time.Second)
					for _, e := range s.entries {
						e.setLinks(down, linkUp)
					}
					s.run(6*time.Second + offset)
					for _, e := range s.entries {
						e.setLinks(linkUp, linkUp)
					}
					end := time.Now()
					s.store.put("op", "config", "\x02")
					s.run(3 * time.Second)
					earliest, latest := time.Hour, time.Duration(0)
					for _, e := range s.entries {
						earliest, latest = min(earliest, e.answerDelay(end)), max(latest, e.delay(2, end))
					}
					t.Log("first answer of the store", earliest, "change at all entries", latest)
					g.Expect(earliest).To(gomega.BeNumerically("<=", 500*time.Millisecond))
					g.Expect(latest).To(gomega.BeNumerically("<=", 2*time.Second))
				})
			})
		}
	}
}
