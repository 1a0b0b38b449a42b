package bergamotfilter_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type deadlineCase struct {
	change func(s *bergamotrequest.Spec)
	spent  time.Duration // time between arrival and the filter
	left   time.Duration // deadline after arrival, 0 when the request is rejected
}

// Guards against work on answers that nobody waits for any more.
var _ = ginkgo.Describe("Deadline", func() {
	bergamottest.Cases(map[string]deadlineCase{
		"takes the deadline of the caller":     {func(s *bergamotrequest.Spec) { s.Timeout = 3 * time.Second }, 0, 3 * time.Second},
		"takes the default of the pipeline":    {func(*bergamotrequest.Spec) {}, 0, 20 * time.Second},
		"takes the default of the service":     {service("pickup", "book", "k"), 0, 5 * time.Second},
		"counts from the arrival":              {func(*bergamotrequest.Spec) {}, 19 * time.Second, 20 * time.Second},
		"rejects when the deadline has passed": {func(*bergamotrequest.Spec) {}, 20 * time.Second, 0},
	}, func(c deadlineCase) {
		spec := baseSpec()
		c.change(&spec)
		x := newExchange(spec)
		clock := bergamotclock.NewVirtual(epoch.Add(c.spent))
		called, err := pass(x, &bergamotfilter.Deadline{Clock: clock})
		if c.left == 0 {
			gomega.Expect(called).To(gomega.BeFalse())
			bergamottest.ExpectRefusal(err, bergamotrequest.ReasonDeadline, bergamotrequest.RunNo)
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(x.Deadline()).To(gomega.Equal(epoch.Add(c.left)))
	})
})
