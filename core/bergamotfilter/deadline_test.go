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
	change  func(s *bergamotrequest.Spec)
	elapsed time.Duration // between arrival and the filter
	timeout time.Duration // from arrival to the deadline, 0 if the request is refused
}

// Guards against running requests whose callers no longer wait.
var _ = ginkgo.Describe("Deadline", func() {
	bergamottest.Cases(map[string]deadlineCase{
		"uses the timeout of the caller":              {func(s *bergamotrequest.Spec) { s.Timeout = 3 * time.Second }, 0, 3 * time.Second},
		"uses the default of the pipeline":            {func(*bergamotrequest.Spec) {}, 0, 20 * time.Second},
		"uses the default of the service":             {serviceCall("pickup", "book", "k"), 0, 5 * time.Second},
		"counts from the arrival of the request":      {func(*bergamotrequest.Spec) {}, 19 * time.Second, 20 * time.Second},
		"refuses a request whose deadline has passed": {func(*bergamotrequest.Spec) {}, 20 * time.Second, 0},
	}, func(c deadlineCase) {
		spec := baseSpec()
		c.change(&spec)
		x := newExchange(spec)
		clock := bergamotclock.NewVirtual(epoch.Add(c.elapsed))
		called, err := runFilters(x, &bergamotfilter.Deadline{Clock: clock})
		if c.timeout == 0 {
			gomega.Expect(called).To(gomega.BeFalse())
			bergamottest.ExpectRefusal(err, bergamotrequest.ReasonDeadline, bergamotrequest.RunNo)
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(x.Deadline()).To(gomega.Equal(epoch.Add(c.timeout)))
	})
})
