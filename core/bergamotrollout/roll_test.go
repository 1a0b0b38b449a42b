package bergamotrollout_test

import (
	"context"
	"errors"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamottest"
)

type rollCase struct {
	plan   map[string][]fault
	needed int      // approvals that version 1 asks for
	names  []string // who approves version 2
	by     string
	rival  string // tag of what another operator writes, "b" for the same bundle
	err    string // part of the error, empty for success
	advice string // part of the advice
	moved  bool   // version 2 is in force in the end
}

var _ = ginkgo.Describe("a roll of version 2", func() {
	// Guards against a head that moves without approval, moves twice, or whose move stays unknown to the
	// operator although it can be found out.
	bergamottest.Entries(map[string]rollCase{
		"moves the head":    {names: []string{"mari"}, moved: true},
		"needs an approval": {err: "0 of 1 approvals", advice: "by one of: juhan, mari"},
		"needs as many approvals as the parent says":   {needed: 2, names: []string{"mari"}, err: "1 of 2 approvals (mari)", advice: "by one of: juhan"},
		"takes enough approvals":                       {needed: 2, names: []string{"juhan", "mari"}, moved: true},
		"needs an operator of the parent":              {names: []string{"mari"}, by: "eve", err: "operator eve may not roll", advice: "juhan, mari"},
		"survives a write without effect":              {names: []string{"mari"}, plan: map[string][]fault{"swap": {down, down}}, moved: true},
		"finds its write after a lost reply":           {names: []string{"mari"}, plan: map[string][]fault{"swap": {lost}}, moved: true},
		"finds its write when reading back fails once": {names: []string{"mari"}, plan: map[string][]fault{"swap": {lost}, "read": {none, down}}, moved: true},
		"finds its write when it was late":             {names: []string{"mari"}, plan: map[string][]fault{"swap": {late}, "read": {none, down}}, moved: true},
		"finds its write by reading back while writes are down": {
			names: []string{"mari"}, plan: map[string][]fault{"swap": {lost, down, down, down}}, moved: true,
		},
		"cannot tell while the table stays down": {
			names: []string{"mari"}, plan: map[string][]fault{"swap": {lost, down, down, down}, "read": {none, down, down, down, down}},
			err: "may or may not be in force", advice: "cannot roll twice", moved: true,
		},
		"stops when the table is down at the start": {
			names: []string{"mari"}, plan: map[string][]fault{"read": {down}}, err: "table did not tell", advice: "nothing was changed",
		},
		"stops when the text cannot be read": {
			names: []string{"mari"}, plan: map[string][]fault{"fetch": {down}}, err: "cannot be read", advice: "nothing was changed",
		},
		"stops when the parent cannot be read": {
			names: []string{"mari"}, plan: map[string][]fault{"fetch": {none, down}}, err: "cannot be read", advice: "nothing was changed",
		},
		"stops when approvals cannot be read": {
			names: []string{"mari"}, plan: map[string][]fault{"fetch": {none, none, down}}, err: "approvals cannot be read", advice: "nothing was changed",
		},
		"stops when the table rejects the write": {
			names: []string{"mari"}, plan: map[string][]fault{"swap": {reject}}, err: "rejected the new head", advice: "stays in force",
		},
		"tells who won a race": {
			names: []string{"mari"}, plan: map[string][]fault{"swap": {race}}, rival: "c",
			err: "operator juhan rolled version 2", advice: "set version = 3 and parent = ",
		},
		"succeeds when the other operator rolled the same bundle": {
			names: []string{"mari"}, plan: map[string][]fault{"swap": {race}}, rival: "b", moved: true,
		},
	}, func(c rollCase) {
		s := newStore()
		first := inForce(s, max(c.needed, 1))
		digest := propose(s, bundleText(2, first, "b", 1, "mari", "juhan"), c.names...)
		if c.rival != "" {
			rival := propose(s, bundleText(2, first, c.rival, 1, "mari", "juhan"))
			head, _ := bergamotrollout.NewHead(2, rival, first, "juhan").Encode()
			s.Rival = func() { s.SetRow(bergamotrollout.HeadKey, head) }
		}
		s.Plan = c.plan
		if c.by == "" {
			c.by = "mari"
		}
		h, err := newRollout(s).Roll(context.Background(), digest, c.by)
		if c.err == "" {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(h.Digest()).To(gomega.Equal(digest))
		} else {
			gomega.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring(c.err), gomega.ContainSubstring(c.advice))))
		}
		gomega.Expect(headOf(s).Digest() == digest).To(gomega.Equal(c.moved))
	})

	// Guards against a report that a version was never in force when it was, until another operator went on.
	ginkgo.It("tells that it was in force when another operator went on before the lost reply was settled", func(ctx context.Context) {
		s := newStore()
		first := inForce(s, 1)
		second := propose(s, bundleText(2, first, "b", 1, "mari", "juhan"), "mari")
		h, err := newRollout(s).Roll(ctx, second, "mari")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		third := propose(s, bundleText(3, h.Digest(), "c", 1, "mari", "juhan"), "juhan")
		_, err = newRollout(s).Roll(ctx, third, "juhan")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = newRollout(s).Roll(ctx, second, "mari")
		var conflict *bergamotrollout.Conflict
		gomega.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("version 2 was in force until operator juhan rolled version 3")))
	})

	// Guards against a first bundle that anybody can roll.
	ginkgo.It("needs the operators of [trust] for the first version", func(ctx context.Context) {
		s := newStore()
		digest := propose(s, bundleText(1, "", "a", 1, "eve"))
		_, err := newRollout(s).Approve(ctx, digest, "eve", seedKey("eve"))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("operator eve may not approve")))
		_, err = newRollout(s).Approve(ctx, digest, "mari", seedKey("eve"))
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("key is not the one of operator mari")))
		data, _ := bergamotrollout.Sign("mari", digest, seedKey("eve")).Encode()
		s.SetObject(bergamotrollout.ApprovalName(digest, "mari"), data)
		_, err = newRollout(s).Roll(ctx, digest, "mari")
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("0 of 1 approvals")))
	})
})

type putCase struct {
	plan []fault
	read []fault
	err  string
}

var _ = ginkgo.Describe("propose and approve", func() {
	// Guards against a stored object that is reported as missing, or a missing one that is reported as stored.
	bergamottest.Entries(map[string]putCase{
		"store":                                   {},
		"find the object after a lost reply":      {plan: []fault{lost}},
		"store again when the write was lost":     {plan: []fault{down}},
		"store again when reading back fails":     {plan: []fault{lost}, read: []fault{down}},
		"say so when the object store stays down": {plan: []fault{down, down, down, down}, read: []fault{down, down, down, down}, err: "did not confirm"},
		"find the object while writes are down":   {plan: []fault{lost, down, down, down}},
	}, func(c putCase) {
		s := newStore()
		s.Plan = map[string][]fault{"put": c.plan, "fetch": c.read}
		b, err := newRollout(s).Propose(context.Background(), "test", bundleText(1, "", "a", 1, "mari"))
		if c.err != "" {
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.err)))
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Objects()).To(gomega.HaveKey(bergamotrollout.ObjectName(b.Digest())))
		s.Plan = map[string][]fault{"put": c.plan, "fetch": append([]fault{none}, c.read...)}
		_, err = newRollout(s).Approve(context.Background(), b.Digest(), "mari", seedKey("mari"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Objects()).To(gomega.HaveKey(bergamotrollout.ApprovalName(b.Digest(), "mari")))
	})

	// Guards against a rollback that brings an old version number back, which entries would ignore.
	ginkgo.It("make a new version of old content for a rollback", func(ctx context.Context) {
		s := newStore()
		first := inForce(s, 1)
		second := propose(s, bundleText(2, first, "b", 1, "mari", "juhan"), "mari")
		_, err := newRollout(s).Roll(ctx, second, "mari")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		b, err := newRollout(s).Rollback(ctx, first)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(b.Version()).To(gomega.Equal(int64(3)))
		gomega.Expect(b.Parent()).To(gomega.Equal(second))
		m, _ := b.Model("m")
		gomega.Expect(m.Version()).To(gomega.Equal("a"))
		gomega.Expect(headOf(s).Digest()).To(gomega.Equal(second))
	})
})
