package bergamotsession

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotchain"
)

// cancelTimeout is the maximum time to cancel the spans of an ended attempt.
const cancelTimeout = time.Second

// Session is the handler for requests to pipelines.
type Session struct {
	Engine            Engine
	Router            Router
	Views             Views
	Versions          Versions
	Observer          Observer
	Suspects          Suspects
	Isolation         Isolation
	Retries           Retries
	Counter           Counter
	Clock             Clock
	Estimate          Estimate
	SilenceTimeout    time.Duration // maximum time without any message on a connection or without a reply to a command
	FirstTokenTimeout time.Duration // maximum time to the first token of an attempt, which includes queueing and prefill
	StallTimeout      time.Duration // maximum time between two tokens
	MaxReconnects     int           // maximum reconnects in a row without a token; one more fails the last stage
	MaxAttempts       int           // maximum number of attempts for one answer

	pendingCancels sync.WaitGroup
}

// Handle streams the answer to the sink; after a failure it continues after the last delivered token on another path. It
// returns a *bergamotrequest.Refusal on failure.
func (s *Session) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	a := &answer{session: s, x: x, failed: map[string]bool{}, possiblyFailed: map[string]bool{}, stale: map[string]bool{}}
	defer func() { a.replaceImportSource(ctx, nil) }()
	return a.run(ctx)
}

// Wait waits until the spans of all ended attempts are cancelled; call it after the last Handle.
func (s *Session) Wait() { s.pendingCancels.Wait() }

// cancelSpans cancels the spans of an attempt, also when the caller's context has ended. It does not wait, since an
// instance that does not reply would delay the failover or the end of the answer.
func (s *Session) cancelSpans(ctx context.Context, a *attempt) {
	s.pendingCancels.Add(1)
	go func() {
		defer s.pendingCancels.Done()
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		// A lost cancellation is harmless: the instance drops spans that it has not stepped for a while.
		_ = a.forEachSpan(func(n int) error { return s.Engine.Cancel(ctx, a.spans[n].Stage().Address(), a.spans[n]) })
	}()
}
