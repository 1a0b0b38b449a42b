package bergamotfilter_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotchain"
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
	bergamottest.Entries(map[string]quarantineCase{
		"rejects a resend with another id":            {func(s *bergamotrequest.Spec) { s.ID = "again" }, true},
		"rejects a resend with another seed":          {func(s *bergamotrequest.Spec) { s.Seed++ }, true},
		"rejects a resend of another length":          {func(s *bergamotrequest.Spec) { s.Limit++ }, true},
		"rejects a resend with an idempotency key":    {func(s *bergamotrequest.Spec) { s.Idem = "k" }, true},
		"passes another prompt":                       {func(s *bergamotrequest.Spec) { s.Prompt += "!" }, false},
		"passes a service call, which runs no prompt": {service("pickup", "book", "k"), false},
	}, func(c quarantineCase) {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(epoch))
		quarantine := &bergamotfilter.Quarantine{Suspects: l}
		pass := func(spec bergamotrequest.Spec) (called bool, content [32]byte, err error) {
			x := newExchange(spec)
			h := bergamotchain.NewChain(reached(&called), bergamotfilter.Identify{}, bergamotfilter.Resolve{}, quarantine)
			err = h.Handle(context.Background(), x)
			return called, x.Content(), err
		}
		called, content, err := pass(baseSpec())
		gomega.Expect(called).To(gomega.BeTrue())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		l.Strike(content, "a", false)
		l.Strike(content, "b", true)
		spec := baseSpec()
		c.change(&spec)
		called, _, err = pass(spec)
		gomega.Expect(called).To(gomega.Equal(!c.rejected))
		if c.rejected {
			bergamottest.ExpectRefusal(err, bergamotrequest.ReasonSuspect, bergamotrequest.RunNo)
		}
	})
})
