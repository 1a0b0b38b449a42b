//go:build !race

package bergamotcluster_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

type restoreCase struct {
	entries, centres int
	outage           time.Duration // before the store is back as an older copy, 0 for none
	down             simLink       // during the outage
	writes           int           // between the restore and its end, beside those that it took back
	cut              bool          // the hubs of a data centre are cut off from the store and the others when it is back
	calls            int           // reads of tables in the first three seconds
}

// TestRestore guards against a restore of the store after which all entries read the store for themselves, since the copies of
// the hubs have lower numbers than their own, and against entries that keep rows of the lost era: a restore at 24 entries made
// 19,302 calls in a day, and those that came back when the new numbers had passed their own missed what was written.
func TestRestore(t *testing.T) {
	const s = time.Second
	cases := map[string]restoreCase{
		"60 entries":                              {entries: 60, centres: 3, outage: 2 * s, down: linkRefused, calls: 300},
		"60 entries, after silence":               {entries: 60, centres: 3, outage: 6 * s, down: linkSilent, calls: 350},
		"60 entries, without an outage":           {entries: 60, centres: 3, calls: 45},
		"60 entries, the numbers have passed":     {entries: 60, centres: 3, outage: 2 * s, down: linkRefused, writes: 30, calls: 300},
		"60 entries, the hubs of one are cut off": {entries: 60, centres: 3, outage: 2 * s, down: linkRefused, cut: true, calls: 550},
		"840 entries":                             {entries: 840, centres: 5, outage: 2 * s, down: linkRefused, calls: 1600},
		"840 entries, the numbers have passed":    {entries: 840, centres: 5, outage: 2 * s, down: linkRefused, writes: 30, calls: 1600},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRestore(t, c) })
		})
	}
}

func runRestore(t *testing.T, c restoreCase) {
	g := gomega.NewWithT(t)
	s := newSimulation(t, c.entries, c.centres, 4)
	defer s.stop()
	s.run(8 * time.Second)
	for n := range 10 { // writes that are taken back
		s.store.put("servers", fmt.Sprint("lost", n), "ready")
	}
	s.store.put("op", "config", "\x02")
	s.run(time.Second)
	exempt := map[string]bool{}
	first, second := s.hubs("c0")
	if c.outage > 0 {
		for _, e := range s.entries {
			e.setLinks(c.down, linkUp)
		}
		s.run(c.outage)
	}
	if c.cut {
		for _, e := range []*simEntry{first, second} {
			exempt[e.name] = true
			e.setLinks(linkSilent, linkSilent)
		}
	}
	s.store.restore(11)
	for n := range c.writes {
		s.store.put("servers", fmt.Sprint("new", n), "ready")
	}
	s.store.takeCalls()
	for name, e := range s.entries {
		if !exempt[name] {
			e.setLinks(linkUp, linkUp)
		}
	}
	end := time.Now()
	s.store.put("op", "config", "\x03")
	s.run(3 * time.Second)
	calls := s.store.takeCalls()
	reads, worst := 0, time.Duration(0)
	for kind, n := range calls {
		if kind != "read lease" && kind != "write lease" && kind != "read hubs" && kind != "write hubs" {
			reads += n
		}
	}
	s.store.mu.Lock()
	era := s.store.era
	s.store.mu.Unlock()
	for _, name := range s.names {
		if exempt[name] {
			continue
		}
		worst = max(worst, s.entries[name].delay(3, end))
		for _, table := range []string{"op", "servers"} {
			g.Expect(s.entries[name].lastRead(table).Era()).To(gomega.Equal(era), name+" "+table)
		}
	}
	t.Log(reads, "reads of tables, longest time to the change", worst, calls)
	g.Expect(worst).To(gomega.BeNumerically("<=", 2*time.Second))
	g.Expect(reads).To(gomega.BeNumerically("<=", c.calls))
}
