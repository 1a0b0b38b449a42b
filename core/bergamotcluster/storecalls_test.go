//go:build !race

package bergamotcluster_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

type storeCallsCase struct {
	entries, centres int
	churn            time.Duration // time between two changes of a runner, 0 for none
	both             int           // calls in 48 s while both hubs of each data centre read the store
	one              int           // the same while the second reads through the first
}

// TestStoreCalls guards against calls to the store that grow with the number of entries, also while all of them start, and
// against a second hub that reads what the first one reads.
func TestStoreCalls(t *testing.T) {
	const s = time.Second
	cases := map[string]storeCallsCase{
		"4 entries":               {entries: 4, centres: 1, both: 345, one: 345},
		"28 entries":              {entries: 28, centres: 3, both: 1170, one: 805},
		"71 entries":              {entries: 71, centres: 3, both: 1215, one: 850},
		"71 entries with changes": {entries: 71, centres: 3, churn: s / 5, both: 1340, one: 920},
		"118 entries":             {entries: 118, centres: 3, both: 1260, one: 900},
		"840 entries":             {entries: 840, centres: 5, both: 2650, one: 2050},
	}
	for name, c := range cases {
		for minPerHub, want := range map[int]int{0: c.both, 4: c.one} {
			t.Run(fmt.Sprint(name, ", ", minPerHub), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := gomega.NewWithT(t)
					sim := newSimulation(t, c.entries, c.centres, minPerHub)
					for end := time.Now().Add(47 * s); time.Now().Before(end); {
						<-time.After(max(c.churn, s/10))
						if c.churn > 0 {
							sim.store.put("servers", "r1", fmt.Sprint(time.Now().UnixNano()))
						}
					}
					calls := sim.store.takeCalls()
					total := 0
					for _, n := range calls {
						total += n
					}
					t.Log(total, calls)
					g.Expect(total).To(gomega.BeNumerically("<=", want))
					sim.stop()
				})
			})
		}
	}
}
