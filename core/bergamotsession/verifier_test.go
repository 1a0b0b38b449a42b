package bergamotsession_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/core/bergamottest"
)

// claim is what a target says about one token, before it is sealed with a digest.
type claim struct {
	session  string
	attempt  int
	position int
	token    int
	receipts []bergamotsession.Receipt
}

// seal returns the token and a proof whose digest fits the claim, as a consistent but wrong target sends it.
func (c claim) seal() (bergamotrequest.Token, bergamotsession.Proof) {
	digest := bergamotsession.FirstDigest(c.session, c.attempt, c.position)
	for _, r := range c.receipts {
		digest = bergamotsession.NextDigest(digest, r)
	}
	p := bergamotsession.NewProof(c.session, c.attempt, c.position, c.receipts, bergamotsession.LastDigest(digest, c.token))
	return bergamotrequest.NewToken(c.position, c.token, "", false), p
}

func honest() claim {
	return claim{session: "s", attempt: 2, position: 5, token: 7, receipts: []bergamotsession.Receipt{
		bergamotsession.NewReceipt(0, 4, 1), bergamotsession.NewReceipt(4, 9, 1),
	}}
}

func newVerifier() *bergamotsession.Verifier {
	return bergamotsession.NewVerifier("s", 2, 5, bergamotroute.NewPlan(
		bergamotroute.NewStage("a", "10.0.0.1:1", 0, 4), bergamotroute.NewStage("b", "10.0.0.2:1", 4, 9),
	))
}

var _ = ginkgo.Describe("Verifier", func() {
	ginkgo.It("accepts a token whose layers ran once each, in order", func() {
		gomega.Expect(newVerifier().Check(honest().seal())).To(gomega.Succeed())
	})

	// Each case is a fault of a target that would hand a wrong token to a caller.
	bergamottest.Cases(map[string]struct{ change func(c *claim) }{
		"rejects a token of another session":      {func(c *claim) { c.session = "t" }},
		"rejects a late token of an old attempt":  {func(c *claim) { c.attempt = 1 }},
		"rejects a token that skips a position":   {func(c *claim) { c.position = 6 }},
		"rejects a token that repeats a position": {func(c *claim) { c.position = 4 }},
		"rejects a missing stage":                 {func(c *claim) { c.receipts = c.receipts[:1] }},
		"rejects stages in the wrong order": {func(c *claim) {
			c.receipts[0], c.receipts[1] = c.receipts[1], c.receipts[0]
		}},
		"rejects other layers than planned": {func(c *claim) { c.receipts[1] = bergamotsession.NewReceipt(5, 9, 1) }},
		"rejects a step applied twice":      {func(c *claim) { c.receipts[1] = bergamotsession.NewReceipt(4, 9, 2) }},
	}, func(c struct{ change func(c *claim) }) {
		changed := honest()
		c.change(&changed)
		v := newVerifier()
		gomega.Expect(v.Check(changed.seal())).NotTo(gomega.Succeed())
		gomega.Expect(v.Next()).To(gomega.Equal(5))
	})

	// Guards against a digest that ignores one of the values which it should bind.
	ginkgo.It("rejects every digest but the right one", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			token, p := honest().seal()
			digest := rapid.Uint64().Filter(func(d uint64) bool { return d != p.Digest() }).Draw(t, "digest")
			forged := bergamotsession.NewProof(p.Session(), p.Attempt(), p.Position(), p.Receipts(), digest)
			gomega.Expect(newVerifier().Check(token, forged)).NotTo(gomega.Succeed())
		})
	})
})
