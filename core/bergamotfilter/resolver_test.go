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
	reason bergamotrequest.Reason // empty if the request passes
}

func serviceCall(name, call, idempotencyKey string) func(s *bergamotrequest.Spec) {
	return func(s *bergamotrequest.Spec) {
		s.Kind, s.Service, s.Call, s.IdempotencyKey = bergamotrequest.KindService, name, call, idempotencyKey
	}
}

// Guards against a workspace that uses pipelines or services of another one, and against a non-repeatable call that is
// dispatched without the idempotency key that identifies it.
var _ = ginkgo.Describe("Authenticator and Resolver", func() {
	bergamottest.Cases(map[string]resolveCase{
		"pass a pipeline of the workspace":           {func(*bergamotrequest.Spec) {}, ""},
		"refuse a missing key":                       {func(s *bergamotrequest.Spec) { s.APIKey = "" }, bergamotrequest.ReasonKey},
		"refuse an unknown key":                      {func(s *bergamotrequest.Spec) { s.APIKey = "x" }, bergamotrequest.ReasonKey},
		"refuse an unknown model":                    {func(s *bergamotrequest.Spec) { s.Model = "x" }, bergamotrequest.ReasonModel},
		"refuse a pipeline of another workspace":     {func(s *bergamotrequest.Spec) { s.Model = "quote" }, bergamotrequest.ReasonAccess},
		"pass a repeatable call without a key":       {serviceCall("pickup", "slots", ""), ""},
		"pass a non-repeatable call with a key":      {serviceCall("pickup", "book", "k"), ""},
		"refuse a non-repeatable call without a key": {serviceCall("pickup", "book", ""), bergamotrequest.ReasonIdempotency},
		"refuse an unknown service":                  {serviceCall("x", "book", "k"), bergamotrequest.ReasonService},
		"refuse an unknown call":                     {serviceCall("pickup", "x", "k"), bergamotrequest.ReasonService},
		"refuse a service of another workspace":      {serviceCall("ledger", "payout", "k"), bergamotrequest.ReasonAccess},
	}, func(c resolveCase) {
		spec := baseSpec()
		c.change(&spec)
		called, err := runFilters(newExchange(spec))
		if c.reason == "" {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(called).To(gomega.BeTrue())
			return
		}
		gomega.Expect(called).To(gomega.BeFalse())
		bergamottest.ExpectRefusal(err, c.reason, bergamotrequest.RunNo)
	})

	ginkgo.It("refuse every request before a bundle is in force", func() {
		r := bergamottest.Request(baseSpec())
		view := newView(nil)
		err := bergamotfilter.Authenticator{}.Filter(context.Background(), bergamotchain.NewExchange(r, view, nil), nil)
		gomega.Expect(bergamotrequest.AsRefusal(err).Reason()).To(gomega.Equal(bergamotrequest.ReasonBundle))
	})
})
