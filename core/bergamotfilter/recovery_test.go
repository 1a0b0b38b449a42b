package bergamotfilter_test

import (
	"context"
	"errors"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type recoverCase struct {
	next   func() error
	reason bergamotrequest.Reason
	run    bergamotrequest.RunState
}

// Guards against a panic in one request that ends the process, and against an unknown error that is reported as "not
// run".
var _ = ginkgo.Describe("Recovery", func() {
	bergamottest.Cases(map[string]recoverCase{
		"keeps a refusal": {
			func() error { return bergamotrequest.Refuse(bergamotrequest.ReasonFull, "full") },
			bergamotrequest.ReasonFull, bergamotrequest.RunNo,
		},
		"turns any other error into an internal refusal with unknown outcome": {
			func() error { return errors.New("broken") }, bergamotrequest.ReasonInternal, bergamotrequest.RunUnknown,
		},
		"turns a panic into a refusal": {
			func() error { panic("broken") }, bergamotrequest.ReasonInternal, bergamotrequest.RunUnknown,
		},
	}, func(c recoverCase) {
		counts := eventCounts{}
		f := &bergamotfilter.Recovery{Counter: counts, Report: func(string, any) {}}
		err := f.Filter(context.Background(), newExchange(baseSpec()), bergamotchain.HandlerFunc(
			func(context.Context, *bergamotchain.Exchange) error { return c.next() }))
		bergamottest.ExpectRefusal(err, c.reason, c.run)
		gomega.Expect(counts).To(gomega.Equal(eventCounts{"refusal." + string(c.reason): 1}))
	})
})
