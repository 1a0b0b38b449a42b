package bergamotretry_test

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotretry"
	"bergamotspur/core/bergamottest"
)

// hubs is an entry that reads through a hub, or is one itself.
type hubs struct {
	hub        string // empty for none
	downstream int
	entries    int
}

func (h hubs) Hub() (bergamotmirror.Peer, bool) {
	return bergamotmirror.NewPeer(h.hub, h.hub), h.hub != ""
}
func (h hubs) Entries() int { return h.entries }

// lendingNetwork lends all retries, or fails.
type lendingNetwork struct {
	asked []string // hubs
	err   error
}

func (n *lendingNetwork) Borrow(_ context.Context, hub bergamotmirror.Peer, _ string, _ float64) (bool, error) {
	n.asked = append(n.asked, hub.Name())
	return true, n.err
}

type lenderCase struct {
	hubs  hubs
	err   error // of the network
	lent  int   // of 1,000 retries
	asked bool  // the hub is asked over the network
}

var _ = ginkgo.Describe("the lender of retries", func() {
	// Guards against hubs that together lend more than the platform allows, and against an entry that lends although it
	// is no hub, or borrows from one that did not answer.
	bergamottest.Cases(map[string]lenderCase{
		"lends as a hub the part of the entries behind it":  {hubs: hubs{"self", 12, 118}, lent: 43}, // 0.7 x 600 x 12 / 118
		"lends nothing before the entries are counted":      {hubs: hubs{"self", 12, 0}},
		"lends at most a half when it knows no other entry": {hubs: hubs{"self", 1, 1}, lent: 210},
		"borrows from its hub":                              {hubs: hubs{"hub", 1, 118}, lent: 1000, asked: true},
		"borrows nothing from a hub that does not answer":   {hubs: hubs{"hub", 1, 118}, err: errors.New("silent"), asked: true},
		"borrows nothing without a hub":                     {hubs: hubs{"", 1, 118}},
	}, func(c lenderCase) {
		network, refused := &lendingNetwork{err: c.err}, 0
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		l := &bergamotretry.HubLender{
			Name: "self", Hubs: c.hubs, Network: network, Reserve: 600,
			Lendable: &bergamotretry.Budget{Clock: clock, Window: 10 * time.Second, MaxKeys: 10},
			Share:    &bergamotretry.Share{Clock: clock, Window: 10 * time.Second},
			OnRefuse: func(string, float64, string, error) { refused++ },
		}
		if c.hubs.entries > 0 {
			l.Registered(c.hubs.downstream, true)
		}
		lent := 0
		for range 1000 {
			if l.Borrow("llm", 1) {
				lent++
			}
		}
		gomega.Expect(lent).To(gomega.BeNumerically("~", c.lent, 1))
		gomega.Expect(refused).To(gomega.Equal(1000 - lent))
		gomega.Expect(len(network.asked) > 0).To(gomega.Equal(c.asked))
		if c.asked {
			gomega.Expect(l.Lend("llm", 1)).To(gomega.BeFalse())
		}
	})

	// Guards against fixed parts of at least one retry each, which at 840 entries exceed what the platform allows.
	ginkgo.It("divides no more than the reserve among 840 entries", func() {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		lendable := &bergamotretry.Budget{Clock: clock, Window: 10 * time.Second, MaxKeys: 10}
		l := &bergamotretry.HubLender{Name: "self", Hubs: hubs{"self", 84, 840}, Reserve: 600, Lendable: lendable, Share: &bergamotretry.Share{Clock: clock, Window: 10 * time.Second}}
		l.Registered(84, true)
		lent := 0
		for l.Lend("llm", 1) {
			lent++
		}
		gomega.Expect(840*l.OwnReserve(840) + 10*float64(lent)).To(gomega.BeNumerically("<=", 600))
	})
})
