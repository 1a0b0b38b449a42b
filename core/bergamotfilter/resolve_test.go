package bergamotfilter_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type resolveCase struct {
	change func(s *bergamotrequest.Spec)
	reason bergamotrequest.Reason // empty when the request passes
}

func service(name, call, idem string) func(s *bergamotrequest.Spec) {
	return func(s *bergamotrequest.Spec) {
		s.Kind, s.Service, s.Call, s.IdempotencyKey = bergamotrequest.KindService, name, call, idem
	}
}

// Guards against a workspace that reaches what another one pays for, and against a non-repeatable call
// that is dispatched without the key which makes it recognisable.
var _ = ginkgo.Describe("Identify and Resolve", func() {
	bergamottest.Cases(map[string]resolveCase{
		"pass a pipeline of the workspace":      {func(*bergamotrequest.Spec) {}, ""},
		"reject a missing key":                  {func(s *bergamotrequest.Spec) { s.Key = "" }, bergamotrequest.ReasonKey},
		"reject an unknown key":                 {func(s *bergamotrequest.Spec) { s.Key = "x" }, bergamotrequest.ReasonKey},
		"reject an unknown model":               {func(s *bergamotrequest.Spec) { s.Model = "x" }, bergamotrequest.ReasonModel},
		"reject a pipeline of others":           {func(s *bergamotrequest.Spec) { s.Model = "quote" }, bergamotrequest.ReasonAccess},
		"pass a repeatable call without a key":  {service("pickup", "slots", ""), ""},
		"pass a call with an idempotency key":   {service("pickup", "book", "k"), ""},
		"reject a call without idempotency key": {service("pickup", "book", ""), bergamotrequest.ReasonIdempotency},
		"reject an unknown service":             {service("x", "book", "k"), bergamotrequest.ReasonService},
		"reject an unknown call":                {service("pickup", "x", "k"), bergamotrequest.ReasonService},
		"reject a service of others":            {service("ledger", "payout", "k"), bergamotrequest.ReasonAccess},
	}, func(c resolveCase) {
		spec := baseSpec()
		c.change(&spec)
		called, err := pass(newExchange(spec))
		if c.reason == "" {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(called).To(gomega.BeTrue())
			return
		}
		gomega.Expect(called).To(gomega.BeFalse())
		bergamottest.ExpectRefusal(err, c.reason, bergamotrequest.RunNo)
	})

	ginkgo.It("reject every request before a bundle is in force", func() {
		r := bergamottest.Request(baseSpec())
		view := newView(nil)
		err := bergamotfilter.Identify{}.Filter(context.Background(), bergamotchain.NewExchange(r, view, nil), nil)
		gomega.Expect(bergamotrequest.AsRefusal(err).Reason()).To(gomega.Equal(bergamotrequest.ReasonBundle))
	})
})
