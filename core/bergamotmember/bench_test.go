package bergamotmember_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotspur/core/bergamotmember"
)

// Targets of the design page for one node.
const (
	maxConvergence = 7 * time.Second
	maxTraffic     = 20_000 // bytes a second, sent and received
	maxMemory      = 32 << 20
)

// BenchmarkConvergence measures in virtual time how long news takes to reach every member, and what it costs.
func BenchmarkConvergence(b *testing.B) {
	for _, count := range []int{4, 40, 840} {
		for _, name := range []string{"demand", "head", "target"} {
			b.Run(fmt.Sprintf("%s-%d", name, count), func(b *testing.B) {
				var worst time.Duration
				var traffic float64
				for seed := 0; b.Loop(); seed++ {
					c := newCluster(uint64(seed), count)
					c.load(10)
					// Long enough for the backlog of 840 members that start together.
					c.churn = true
					c.run(120 * time.Second)
					c.measure = true
					took, ok := c.spread(name)
					if !ok || took > maxConvergence {
						b.Fatalf("%s reached not all of %d members in %s", name, count, took)
					}
					worst = max(worst, took)
					traffic = max(traffic, c.run(20*time.Second))
				}
				if traffic > maxTraffic {
					b.Fatalf("%.0f bytes a second", traffic)
				}
				b.ReportMetric(worst.Seconds(), "s-to-all")
				b.ReportMetric(traffic, "B/s-node")
			})
		}
	}
}

// load gives every member demand for MaxDemand workspaces.
func (c *cluster) load(rate uint32) {
	for k := range c.peers {
		c.demand(k, rate)
	}
}

func (c *cluster) demand(k int, rate uint32) {
	var list []bergamotmember.Demand
	for w := range bergamotmember.MaxDemand {
		list = append(list, bergamotmember.NewDemand(bergamotmember.WorkspaceID(fmt.Sprint("w", (k*7+w*131)%11000)), rate))
	}
	c.node(k).SetDemand(c.now, list)
}

// spread makes one change at member 0 and waits until all others know it.
func (c *cluster) spread(name string) (time.Duration, bool) {
	switch name {
	case "head":
		c.node(0).SetHead(bergamotmember.NewHead(2, "d"))
		return c.until(time.Minute, func(n *bergamotmember.Node) bool { return n.Head().Version() == 2 })
	case "target":
		c.node(0).ReportTarget(c.now, "runner", bergamotmember.Dead)
		return c.until(time.Minute, func(n *bergamotmember.Node) bool {
			_, ok := n.Picture(c.now).Target("runner")
			return ok
		})
	default:
		c.node(0).SetDemand(c.now, []bergamotmember.Demand{bergamotmember.NewDemand(bergamotmember.WorkspaceID("new"), 50)})
		return c.until(time.Minute, func(n *bergamotmember.Node) bool {
			s, _ := n.Picture(c.now).Share("new")
			return s.Total() == 50
		})
	}
}
