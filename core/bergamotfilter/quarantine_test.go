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
	change  func(s *bergamotrequest.Spec)
	refused bool
}

// Guards against a resent request that is not recognized, and against refusing a different request.
var _ = ginkgo.Describe("Quarantine", func() {
	bergamottest.Cases(map[string]quarantineCase{
		"refuses a resend with another id":             {func(s *bergamotrequest.Spec) { s.ID = "again" }, true},
		"refuses a resend with another seed":           {func(s *bergamotrequest.Spec) { s.Seed++ }, true},
		"refuses a resend with another maximum length": {func(s *bergamotrequest.Spec) { s.MaxTokens++ }, true},
		"refuses a resend with an idempotency key":     {func(s *bergamotrequest.Spec) { s.IdempotencyKey = "k" }, true},
		"passes another prompt":                        {func(s *bergamotrequest.Spec) { s.Prompt += "!" }, false},
		"passes a service call, which runs no prompt":  {serviceCall("pickup", "book", "k"), false},
	}, func(c quarantineCase) {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(epoch))
		quarantine := &bergamotfilter.Quarantine{Suspects: l}
		first := newExchange(baseSpec())
		called, err := runFilters(first, quarantine)
		gomega.Expect(called).To(gomega.BeTrue())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		l.RecordFailure([]bergamotsuspect.Digest{first.ContentDigest()}, "a", false)
		l.RecordFailure([]bergamotsuspect.Digest{first.ContentDigest()}, "b", true)
		spec := baseSpec()
		c.change(&spec)
		called, err = runFilters(newExchange(spec), quarantine)
		gomega.Expect(called).To(gomega.Equal(!c.refused))
		if c.refused {
			bergamottest.ExpectRefusal(err, bergamotrequest.ReasonSuspect, bergamotrequest.RunNo)
		}
	})
})
