package bergamotrelay

import "context"

// Dispatcher is the last handler of the chain. Where a request runs follows from its service, and how its answer is passed on from its route.
type Dispatcher struct {
	Layered Answers // of services with a model engine
	Plain   Answers // of other services
}

// Answers are the handlers of the requests that go to one kind of runners.
type Answers struct {
	Whole  Handler // of requests that are answered as a whole
	Events Handler // of requests that are answered with a series of events
}

// Handle passes the exchange to the handler for its service and its route.
func (h *Dispatcher) Handle(ctx context.Context, x *Exchange) error {
	runners, answers := "plain", h.Plain
	if x.Service().Engine() != nil {
		runners, answers = "layered", h.Layered
	}
	if x.Route().IsStreaming() {
		x.Trace().recordHandler(runners + ".events")
		return answers.Events.Handle(ctx, x)
	}
	x.Trace().recordHandler(runners + ".whole")
	return answers.Whole.Handle(ctx, x)
}
