package bergamotcontrol_test

import (
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamotsuspect"
)

var _ = ginkgo.Describe("Suspects", func() {
	// Guards against a request that crashes targets at one entry and is then repeated at another: the second entry must
	// receive the complete records of the first with their age.
	ginkgo.It("transfer confirmed requests from one entry to another", func() {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		node := bergamotmember.NewNode(bergamotmember.NewPeer("e1", "127.0.0.1:1"), 1, rand.New(rand.NewPCG(1, 2)))
		content := bergamotsuspect.NewDigest("care", "1", "", "a prompt")
		first, second := bergamotsuspect.NewLedger(clock), bergamotsuspect.NewLedger(clock)
		first.RecordFailure([]bergamotsuspect.Digest{content}, "runner1", false)
		clock.Advance(time.Minute)
		first.RecordFailure([]bergamotsuspect.Digest{content}, "runner2", true)

		s := bergamotcontrol.NewState()
		(&bergamotcontrol.Suspects{Ledger: first, Node: node}).Reconcile(s)
		s.SetMembers(node.Snapshot(s.Now()))
		(&bergamotcontrol.Suspects{Ledger: second, Node: node}).Reconcile(s)

		gomega.Expect(second.IsConfirmed(content)).To(gomega.BeTrue())
		clock.Advance(time.Hour)
		gomega.Expect(second.IsSuspect(content)).To(gomega.BeFalse())
	})
})
