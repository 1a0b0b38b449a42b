package bergamotmember_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotspur/core/bergamotmember"
)

// Limits for one node from the design page.
const (
	maxConvergence = 7 * time.Second
	maxTraffic     = 20_000 // bytes per second, sent and received
	maxMemory      = 32 << 20
)

// BenchmarkConvergence measures in virtual time how long a change takes to reach all members, and the traffic that this
// costs.
func BenchmarkConvergence(b *testing.B) {
	for _, count := range []int{4, 40, 840} {
		for _, name := range []string{"demand", "head", "target"} {
			b.Run(fmt.Sprintf("%s-%d", name, count), func(b *testing.B) {
				var worst time.Duration
				var traffic float64
				for seed := 0; b.Loop(); seed++ {
					c := newCluster(uint64(seed), count)
					c.setDemandForAll(10)
					// Long enough to work off the backlog of 840 members that start at the same time.
					c.churn = true
					c.run(120 * time.Second)
					c.isMeasuring = true
					took, ok := c.propagateChange(name)
					if !ok || took > maxConvergence {
						b.Fatalf("%s did not reach all of %d members within %s", name, count, took)
					}
					worst = max(worst, took)
					traffic = max(traffic, c.run(20*time.Second))
				}
				if traffic > maxTraffic {
					b.Fatalf("%.0f bytes per second", traffic)
				}
				b.ReportMetric(worst.Seconds(), "s-to-all")
				b.ReportMetric(traffic, "B/s-node")
			})
		}
	}
}

// setDemandForAll gives every member demand for MaxWorkspaces workspaces.
func (c *cluster) setDemandForAll(rate uint32) {
	for k := range c.peers {
		c.setDemand(k, rate)
	}
}

func (c *cluster) setDemand(k int, rate uint32) {
	var list []bergamotmember.Demand
	for w := range bergamotmember.MaxWorkspaces {
		list = append(list, bergamotmember.NewDemand(bergamotmember.WorkspaceID(fmt.Sprint("w", (k*7+w*131)%11000)), rate))
	}
	c.node(k).SetDemand(c.now, list)
}

// propagateChange makes a change at member 0 and waits until all other members know it.
func (c *cluster) propagateChange(name string) (time.Duration, bool) {
	switch name {
	case "head":
		c.node(0).SetHead(bergamotmember.NewHead(2, "d"))
		return c.waitUntil(time.Minute, func(n *bergamotmember.Node) bool { return n.Head().Version() == 2 })
	case "target":
		c.node(0).ReportTarget(c.now, "runner", bergamotmember.Dead)
		return c.waitUntil(time.Minute, func(n *bergamotmember.Node) bool {
			_, ok := n.Snapshot(c.now).TargetHint("runner")
			return ok
		})
	default:
		c.node(0).SetDemand(c.now, []bergamotmember.Demand{bergamotmember.NewDemand(bergamotmember.WorkspaceID("new"), 50)})
		return c.waitUntil(time.Minute, func(n *bergamotmember.Node) bool {
			s, _ := n.Snapshot(c.now).WorkspaceDemand("new")
			return s.Total() == 50
		})
	}
}
