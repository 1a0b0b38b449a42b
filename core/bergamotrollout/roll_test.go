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
	faults    map[string][]fault
	needed    int      // approvals that version 1 requires, 0 for 1
	approvers []string // operators who approve version 2
	operator  string
	rival     string // tag of the bundle that another operator rolls, "b" for the same bundle
	err       string // part of the error, empty for success
	advice    string // part of the advice
	moved     bool   // version 2 is in force in the end
}

var _ = ginkgo.Describe("a roll of version 2", func() {
	// Guards against a head that moves without enough approvals or moves twice, and against a roll that reports an
	// unknown outcome although the table holds it.
	bergamottest.Cases(map[string]rollCase{
		"moves the head":    {approvers: []string{"mari"}, moved: true},
		"needs an approval": {err: "0 of 1 approvals", advice: "by one of: juhan, mari"},
		"needs as many approvals as the parent says":   {needed: 2, approvers: []string{"mari"}, err: "1 of 2 approvals (mari)", advice: "by one of: juhan"},
		"takes enough approvals":                       {needed: 2, approvers: []string{"juhan", "mari"}, moved: true},
		"needs an operator of the parent":              {approvers: []string{"mari"}, operator: "eve", err: "operator eve may not roll", advice: "juhan, mari"},
		"retries writes that had no effect":            {approvers: []string{"mari"}, faults: map[string][]fault{"swap": {down, down}}, moved: true},
		"finds its write after a lost reply":           {approvers: []string{"mari"}, faults: map[string][]fault{"swap": {lost}}, moved: true},
		"finds its write when reading back fails once": {approvers: []string{"mari"}, faults: map[string][]fault{"swap": {lost}, "read": {none, down}}, moved: true},
		"finds its write when it took effect late":     {approvers: []string{"mari"}, faults: map[string][]fault{"swap": {late}, "read": {none, down}}, moved: true},
		"finds its write by reading back while writes are down": {
			approvers: []string{"mari"}, faults: map[string][]fault{"swap": {lost, down, down, down}}, moved: true,
		},
		"reports an unknown outcome while the table stays down": {
			approvers: []string{"mari"}, faults: map[string][]fault{"swap": {lost, down, down, down}, "read": {none, down, down, down, down}},
			err: "may or may not be in force", advice: "cannot roll twice", moved: true,
		},
		"stops when the table is down at the start": {
			approvers: []string{"mari"}, faults: map[string][]fault{"read": {down}}, err: "table did not tell", advice: "nothing was changed",
		},
		"stops when the text cannot be read": {
			approvers: []string{"mari"}, faults: map[string][]fault{"fetch": {down}}, err: "cannot be read", advice: "nothing was changed",
		},
		"stops when the parent cannot be read": {
			approvers: []string{"mari"}, faults: map[string][]fault{"fetch": {none, down}}, err: "cannot be read", advice: "nothing was changed",
		},
		"stops when approvals cannot be read": {
			approvers: []string{"mari"}, faults: map[string][]fault{"fetch": {none, none, down}}, err: "approvals cannot be read", advice: "nothing was changed",
		},
		"stops when the table rejects the write": {
			approvers: []string{"mari"}, faults: map[string][]fault{"swap": {reject}}, err: "rejected the new head", advice: "stays in force",
		},
		"reports who won a race": {
			approvers: []string{"mari"}, faults: map[string][]fault{"swap": {race}}, rival: "c",
			err: "operator juhan rolled version 2", advice: "set version = 3 and parent = ",
		},
		"succeeds when another operator rolled the same bundle": {
			approvers: []string{"mari"}, faults: map[string][]fault{"swap": {race}}, rival: "b", moved: true,
		},
	}, func(c rollCase) {
		s := newStore()
		first := rollFirst(s, max(c.needed, 1))
		digest := propose(s, bundleText(2, first, "b", 1, "mari", "juhan"), c.approvers...)
		if c.rival != "" {
			rival := propose(s, bundleText(2, first, c.rival, 1, "mari", "juhan"))
			head, _ := bergamotrollout.NewHead(2, rival, first, "juhan").Encode()
			s.Rival = func() { s.SetRow(bergamotrollout.HeadKey, head) }
		}
		s.Plan = c.faults
		if c.operator == "" {
			c.operator = "mari"
		}
		h, err := newRollout(s).Roll(context.Background(), digest, c.operator)
		if c.err == "" {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(h.Digest()).To(gomega.Equal(digest))
		} else {
			gomega.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring(c.err), gomega.ContainSubstring(c.advice))))
		}
		gomega.Expect(headOf(s).Digest() == digest).To(gomega.Equal(c.moved))
	})

	// Guards against a conflict that does not say that the version was in force: the reply to its roll was lost, and
	// another operator rolled the next version before the command was run again.
	ginkgo.It("reports that the version was in force when another operator rolled the next one before a retry", func(ctx context.Context) {
		s := newStore()
		first := rollFirst(s, 1)
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

	// Guards against a first bundle that is in force without the approval of an operator in [trust].
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
	putFaults   []fault
	fetchFaults []fault
	err         string
}

var _ = ginkgo.Describe("propose and approve", func() {
	// Guards against a stored object that is reported as missing, or a missing one that is reported as stored.
	bergamottest.Cases(map[string]putCase{
		"store":                              {},
		"find the object after a lost reply": {putFaults: []fault{lost}},
		"store again when the write had no effect": {putFaults: []fault{down}},
		"store again when reading back fails":      {putFaults: []fault{lost}, fetchFaults: []fault{down}},
		"fail when the object store stays down":    {putFaults: []fault{down, down, down, down}, fetchFaults: []fault{down, down, down, down}, err: "did not confirm"},
		"find the object while writes are down":    {putFaults: []fault{lost, down, down, down}},
	}, func(c putCase) {
		s := newStore()
		s.Plan = map[string][]fault{"put": c.putFaults, "fetch": c.fetchFaults}
		b, err := newRollout(s).Propose(context.Background(), "test", bundleText(1, "", "a", 1, "mari"))
		if c.err != "" {
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.err)))
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Objects()).To(gomega.HaveKey(bergamotrollout.ObjectName(b.Digest())))
		s.Plan = map[string][]fault{"put": c.putFaults, "fetch": append([]fault{none}, c.fetchFaults...)}
		_, err = newRollout(s).Approve(context.Background(), b.Digest(), "mari", seedKey("mari"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Objects()).To(gomega.HaveKey(bergamotrollout.ApprovalName(b.Digest(), "mari")))
	})

	// Guards against a rollback that brings an old version number back, which entries would reject.
	ginkgo.It("store a rollback as a new version with the old content", func(ctx context.Context) {
		s := newStore()
		first := rollFirst(s, 1)
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
