package bergamotfilter_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
)

var _ = ginkgo.Describe("Drain", func() {
	// Guards against a shutdown that cancels a request in flight or accepts a new one.
	ginkgo.It("refuses new requests and waits for the one in flight", func() {
		f := bergamotfilter.NewDrain()
		entered, release, done := make(chan struct{}), make(chan struct{}), make(chan error, 1)
		slow := bergamotchain.HandlerFunc(func(context.Context, *bergamotchain.Exchange) error {
			close(entered)
			<-release
			return nil
		})
		x := newExchange(baseSpec())
		go func() { done <- f.Filter(context.Background(), x, slow) }()
		gomega.Eventually(entered).Should(gomega.BeClosed())
		idle := f.Start()
		called := false
		err := f.Filter(context.Background(), newExchange(baseSpec()), recordCall(&called))
		gomega.Expect(called).To(gomega.BeFalse())
		gomega.Expect(bergamotrequest.AsRefusal(err).Reason()).To(gomega.Equal(bergamotrequest.ReasonDrain))
		gomega.Expect(idle).NotTo(gomega.BeClosed())
		close(release)
		gomega.Eventually(done).Should(gomega.Receive(gomega.BeNil()))
		gomega.Eventually(idle).Should(gomega.BeClosed())
	})

	ginkgo.It("closes the channel at once when nothing is in flight", func() {
		f := bergamotfilter.NewDrain()
		gomega.Expect(f.Start()).To(gomega.BeClosed())
		gomega.Expect(f.Start()).To(gomega.BeClosed())
	})
})
