package bergamotsession

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotchain"
)

// cancelTimeout bounds the cancellation of the spans of an ended attempt.
const cancelTimeout = time.Second

// Session is the handler that answers requests for pipelines.
type Session struct {
	Engine     Engine
	Router     Router
	Views      Views
	Versions   Versions
	Observer   Observer
	Suspects   Suspects
	Isolation  Isolation
	Retries    Retries
	Counter    Counter
	Clock      Clock
	Estimate   Estimate
	Silence    time.Duration // longest time without any message on a connection or without a reply to a command
	First      time.Duration // longest time to the first token of an attempt, which waits for its turn and its prefill
	Stall      time.Duration // longest time between two tokens
	Reconnects int           // new connections in a row without a token before the target is blamed
	Attempts   int           // most attempts for one answer

	cancels sync.WaitGroup
}

// Handle streams the answer to the sink; after a failure it goes on from the last delivered token on another path.
func (s *Session) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	a := &answer{session: s, x: x, dead: map[string]bool{}, doubtful: map[string]bool{}, stale: map[string]bool{}}
	defer func() { a.replaceSource(ctx, nil) }()
	return a.run(ctx)
}

// Wait returns when the spans of all ended attempts are cancelled; it is called after the last Handle.
func (s *Session) Wait() { s.cancels.Wait() }

// cancel frees the spans of an attempt, also when the caller's context has ended. It does not wait, since
// an instance that does not answer would delay the recovery or the end of the answer.
func (s *Session) cancel(ctx context.Context, a *attempt) {
	s.cancels.Add(1)
	go func() {
		defer s.cancels.Done()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		// A lost cancel is harmless: the instance drops spans that it has not stepped for a while.
		_ = a.each(func(n int) error { return s.Engine.Cancel(ctx, a.spans[n].Stage().Address(), a.spans[n]) })
	}()
}
