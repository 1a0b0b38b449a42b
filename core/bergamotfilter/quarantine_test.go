package bergamotfilter_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/core/bergamottest"
)

type quarantineCase struct {
	change   func(s *bergamotrequest.Spec)
	rejected bool
}

// Guards against a resend that is not recognised, and against rejecting another request in its place.
var _ = ginkgo.Describe("Quarantine", func() {
	bergamottest.Cases(map[string]quarantineCase{
		"rejects a resend with another id":            {func(s *bergamotrequest.Spec) { s.ID = "again" }, true},
		"rejects a resend with another seed":          {func(s *bergamotrequest.Spec) { s.Seed++ }, true},
		"rejects a resend of another length":          {func(s *bergamotrequest.Spec) { s.MaxTokens++ }, true},
		"rejects a resend with an idempotency key":    {func(s *bergamotrequest.Spec) { s.IdempotencyKey = "k" }, true},
		"passes another prompt":                       {func(s *bergamotrequest.Spec) { s.Prompt += "!" }, false},
		"passes a service call, which runs no prompt": {service("pickup", "book", "k"), false},
	}, func(c quarantineCase) {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(epoch))
		quarantine := &bergamotfilter.Quarantine{Suspects: l}
		first := newExchange(baseSpec())
		called, err := pass(first, quarantine)
		gomega.Expect(called).To(gomega.BeTrue())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		l.Strike(first.ContentDigest(), "a", false)
		l.Strike(first.ContentDigest(), "b", true)
		spec := baseSpec()
		c.change(&spec)
		called, err = pass(newExchange(spec), quarantine)
		gomega.Expect(called).To(gomega.Equal(!c.rejected))
		if c.rejected {
			bergamottest.ExpectRefusal(err, bergamotrequest.ReasonSuspect, bergamotrequest.RunNo)
		}
	})
})
