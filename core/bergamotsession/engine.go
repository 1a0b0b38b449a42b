package bergamotsession

import (
	"context"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// Step is one message of a token stream; a heartbeat has no token.
type Step struct {
	beat  bool
	token bergamotrequest.Token
	proof Proof
}

// NewStep returns a step with a token and its proof.
func NewStep(t bergamotrequest.Token, p Proof) Step { return Step{token: t, proof: p} }

// NewBeat returns a heartbeat, which shows that the connection lives.
func NewBeat() Step { return Step{beat: true} }

// Beat tells whether the step is a heartbeat.
func (s Step) Beat() bool { return s.beat }

// Token returns the token.
func (s Step) Token() bergamotrequest.Token { return s.token }

// Proof returns the proof of the token.
func (s Step) Proof() Proof { return s.proof }

// TokenStream is an open stream from the last stage of an attempt.
type TokenStream interface {
	// Next waits for the next step. A *StageError names the instance address that failed.
	Next(ctx context.Context) (Step, error)
	Close() error
}

// Engine gives commands to the instances that run spans.
type Engine interface {
	Open(ctx context.Context, address string, s Span) error
	Start(ctx context.Context, address string, s Span, p Prefix) error
	Stream(ctx context.Context, address string, s Span, from int) (TokenStream, error)
	Cancel(ctx context.Context, address string, s Span) error
}

// Router chooses paths and keeps count of the work on them.
type Router interface {
	Route(w bergamotroute.Want) (p bergamotroute.Plan, ok bool)
	Finish(p bergamotroute.Plan)
}

// StageError says which instance of an attempt failed.
type StageError struct {
	address string
	text    string
}

// NewStageError returns an error that names the address of the failed instance.
func NewStageError(address, text string) *StageError {
	return &StageError{address: address, text: text}
}

// Error returns the address and the text.
func (e *StageError) Error() string { return e.address + ": " + e.text }

// Address returns host and port of the failed instance.
func (e *StageError) Address() string { return e.address }
