package bergamotfilter_test

import (
	"context"
	"fmt"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

var baseBundle = bergamottest.MinimalBundle + fmt.Sprintf(`[model care]
layers = 12
[pipeline advice]
model = care
deadline = 20s
[pipeline quote]
model = care
[service pickup]
once = book
repeat = slots
deadline = 5s
[service ledger]
once = payout
[workspace kitchen]
keys = %s
pipelines = advice
services = pickup
`, bergamotbundle.HashKey("kitchen-key"))

var epoch = time.Unix(1000, 0)

// baseView returns a view with baseBundle in force and without instances.
func baseView() *bergamotcontrol.View {
	b := bergamottest.Bundle(baseBundle)
	return newView(b)
}

// newView returns a view of a bundle, which may be nil, without instances.
func newView(b *bergamotbundle.Bundle) *bergamotcontrol.View {
	return bergamotcontrol.NewView(epoch, b, bergamotfleet.NewFleet(nil))
}

// baseSpec returns a valid completion request of the workspace kitchen.
func baseSpec() bergamotrequest.Spec {
	return bergamotrequest.Spec{
		ID: "r1", Kind: bergamotrequest.KindCompletion, APIKey: "kitchen-key", Model: "advice", Prompt: "oil", MaxTokens: 5, ArrivedAt: epoch,
	}
}

// newExchange returns an exchange for spec without a sink.
func newExchange(spec bergamotrequest.Spec) *bergamotchain.Exchange {
	r := bergamottest.Request(spec)
	return bergamotchain.NewExchange(r, baseView(), nil)
}

// runFilters passes an exchange through the authenticator, the resolver and more filters and reports whether it reached
// the handler.
func runFilters(x *bergamotchain.Exchange, filters ...bergamotchain.Filter) (called bool, err error) {
	filters = append([]bergamotchain.Filter{bergamotfilter.Authenticator{}, bergamotfilter.Resolver{}}, filters...)
	err = bergamotchain.NewChain(recordCall(&called), filters...).Handle(context.Background(), x)
	return called, err
}

// recordCall returns a handler that sets called.
func recordCall(called *bool) bergamotchain.Handler {
	return bergamotchain.HandlerFunc(func(context.Context, *bergamotchain.Exchange) error {
		*called = true
		return nil
	})
}

// eventCounts counts events by name.
type eventCounts map[string]int

// Count adds 1 to the count of name.
func (n eventCounts) Count(name string) { n[name]++ }
