package bergamotcontrol_test

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamottest"
)

// silentSender is a sender to peers that never answer.
type silentSender struct{}

func (silentSender) Send(_ context.Context, _ bergamotmember.Peer, _ bergamotmember.Message) (bergamotmember.Message, error) {
	return bergamotmember.Message{}, context.DeadlineExceeded
}

// emptyHeadSource is a source whose head never changes.
type emptyHeadSource struct{}

func (*emptyHeadSource) Head(context.Context, *bergamotbundle.Bundle) (*bergamotbundle.Bundle, error) {
	return nil, nil
}

var _ = ginkgo.Describe("Members", func() {
	var (
		s *bergamotcontrol.State
		c *bergamotcontrol.Members
	)
	base := time.Unix(1000, 0)
	ginkgo.BeforeEach(func() {
		s = bergamotcontrol.NewState()
		c = &bergamotcontrol.Members{
			Node:   bergamotmember.NewNode(bergamotmember.NewPeer("a", ""), 1, rand.New(rand.NewPCG(1, 1))),
			Sender: silentSender{}, Seeds: []bergamotmember.Peer{bergamotmember.NewPeer("b", "")}, Count: func(string) {},
			Post: func(e bergamotcontrol.Event) bool { e.Apply(s); return true },
		}
		s.SetNow(base)
		s.PutInstance(bergamotfleet.NewInstance(bergamotfleet.Spec{Name: "t", Role: bergamotfleet.RoleRunner}))
		c.Reconcile(s)
	})
	receiveHint := func(state bergamotmember.State) {
		r, _ := bergamotmember.NewRecord(bergamotmember.RecordSpec{
			Kind: bergamotmember.KindTarget, Key: "t", Version: 1, State: state, TTL: 30 * time.Second,
		})
		m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{From: "b", Incarnation: 1, Records: []bergamotmember.Record{r}})
		_, err := c.Heartbeat(context.Background(), "b", m)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	isUsable := func(after time.Duration) bool {
		s.SetNow(base.Add(after))
		c.Reconcile(s)
		i, _ := s.Instance("t")
		return i.Usable()
	}
	probe := func(after time.Duration) {
		i, _ := s.Instance("t")
		spec := i.Spec()
		spec.Load = bergamotfleet.NewLoad(0, 0, base.Add(after))
		s.PutInstance(bergamotfleet.NewInstance(spec))
	}

	// Guards against new work on a target that another entry reported as leaving, and against a hint that never expires.
	ginkgo.It("stops new work on a hint until it expires", func() {
		receiveHint(bergamotmember.Leaving)
		gomega.Expect(isUsable(time.Second)).To(gomega.BeFalse())
		probe(2 * time.Second)
		gomega.Expect(isUsable(29 * time.Second)).To(gomega.BeFalse())
		gomega.Expect(isUsable(32 * time.Second)).To(gomega.BeTrue())
	})

	// Guards against a peer with a broken connection whose hint stops the work of all entries on a healthy target.
	ginkgo.It("ignores a hint that a target is dead after a later probe of its own", func() {
		receiveHint(bergamotmember.Dead)
		gomega.Expect(isUsable(time.Second)).To(gomega.BeFalse())
		probe(2 * time.Second)
		gomega.Expect(isUsable(3 * time.Second)).To(gomega.BeTrue())
	})

	// Guards against hints that never expire because entries keep reporting them to each other.
	ginkgo.It("does not report a hint as an observation of its own", func() {
		receiveHint(bergamotmember.Dead)
		gomega.Expect(isUsable(25 * time.Second)).To(gomega.BeFalse())
		gomega.Expect(isUsable(31 * time.Second)).To(gomega.BeTrue())
		gomega.Expect(isUsable(60 * time.Second)).To(gomega.BeTrue())
	})

	// Guards against an entry that waits a whole period to read a head that a peer already knows.
	ginkgo.It("reads the head early on a hint of a newer one, but not before the minimum gap has passed", func() {
		source := &emptyHeadSource{}
		h := &bergamotcontrol.HeadReader{
			Source: source, Period: 4 * time.Second, Timeout: time.Minute, Random: func() float64 { return 0.5 }, OnError: func(error) {},
		}
		s.SetBundle(bergamottest.EmptyBundle(1))
		countReads := func(after time.Duration) int {
			s.SetNow(base.Add(after))
			c.Reconcile(s)
			tasks := h.Reconcile(s)
			for _, t := range tasks {
				t.Run(context.Background()).Apply(s)
			}
			return len(tasks)
		}
		gomega.Expect(countReads(0)).To(gomega.Equal(1))
		gomega.Expect(countReads(2 * time.Second)).To(gomega.Equal(0))
		m, _ := bergamotmember.NewMessage(bergamotmember.MessageSpec{
			From: "b", Incarnation: 1, Head: bergamotmember.NewHead(2, "d"),
		})
		_, err := c.Heartbeat(context.Background(), "b", m)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(countReads(2300 * time.Millisecond)).To(gomega.Equal(1))
		gomega.Expect(countReads(2800 * time.Millisecond)).To(gomega.Equal(0))
		gomega.Expect(countReads(3400 * time.Millisecond)).To(gomega.Equal(1))
	})

	ginkgo.It("reports targets that it knows to have failed", func() {
		i, _ := s.Instance("t")
		spec := i.Spec()
		spec.Failed = true
		s.PutInstance(bergamotfleet.NewInstance(spec))
		isUsable(time.Second)
		t, ok := c.Node.Snapshot(s.Now().Add(time.Second)).TargetHint("t")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(t.State()).To(gomega.Equal(bergamotmember.Dead))
	})
})
