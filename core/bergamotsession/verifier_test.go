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

// tokenReport holds what a target reports about one token, without the digest.
type tokenReport struct {
	session  string
	attempt  int
	position int
	token    int
	receipts []bergamotsession.Receipt
}

// withProof returns the token and a proof whose digest matches the report, as a target with a fault would send them.
func (r tokenReport) withProof() (bergamotrequest.Token, bergamotsession.Proof) {
	digest := bergamotsession.FirstDigest(r.session, r.attempt, r.position)
	for _, receipt := range r.receipts {
		digest = bergamotsession.NextDigest(digest, receipt)
	}
	p := bergamotsession.NewProof(r.session, r.attempt, r.position, r.receipts, bergamotsession.LastDigest(digest, r.token))
	return bergamotrequest.NewToken(r.position, r.token, "", false), p
}

func validReport() tokenReport {
	return tokenReport{session: "s", attempt: 2, position: 5, token: 7, receipts: []bergamotsession.Receipt{
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
		gomega.Expect(newVerifier().Check(validReport().withProof())).To(gomega.Succeed())
	})

	// Each case is a fault of a target that would deliver a wrong token to a caller.
	bergamottest.Cases(map[string]struct{ change func(r *tokenReport) }{
		"rejects a token of another session":      {func(r *tokenReport) { r.session = "t" }},
		"rejects a late token of an old attempt":  {func(r *tokenReport) { r.attempt = 1 }},
		"rejects a token that skips a position":   {func(r *tokenReport) { r.position = 6 }},
		"rejects a token that repeats a position": {func(r *tokenReport) { r.position = 4 }},
		"rejects a missing stage":                 {func(r *tokenReport) { r.receipts = r.receipts[:1] }},
		"rejects stages in the wrong order": {func(r *tokenReport) {
			r.receipts[0], r.receipts[1] = r.receipts[1], r.receipts[0]
		}},
		"rejects layers other than those planned": {func(r *tokenReport) { r.receipts[1] = bergamotsession.NewReceipt(5, 9, 1) }},
		"rejects a step applied twice":            {func(r *tokenReport) { r.receipts[1] = bergamotsession.NewReceipt(4, 9, 2) }},
	}, func(c struct{ change func(r *tokenReport) }) {
		report := validReport()
		c.change(&report)
		v := newVerifier()
		gomega.Expect(v.Check(report.withProof())).NotTo(gomega.Succeed())
		gomega.Expect(v.NextPosition()).To(gomega.Equal(5))
	})

	// Guards against a digest that does not cover one of the values of the proof.
	ginkgo.It("rejects every digest but the right one", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			token, p := validReport().withProof()
			digest := rapid.Uint64().Filter(func(d uint64) bool { return d != p.Digest() }).Draw(t, "digest")
			forged := bergamotsession.NewProof(p.Session(), p.Attempt(), p.Position(), p.Receipts(), digest)
			gomega.Expect(newVerifier().Check(token, forged)).NotTo(gomega.Succeed())
		})
	})
})
