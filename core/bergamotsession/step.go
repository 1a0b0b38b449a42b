package bergamotsession

import "bergamotspur/core/bergamotrequest"

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
