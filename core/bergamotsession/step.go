package bergamotsession

import "bergamotspur/core/bergamotrequest"

// Step is one message of a token stream: a token with its proof, or a heartbeat.
type Step struct {
	heartbeat bool
	token     bergamotrequest.Token
	proof     Proof
}

// NewStep returns a step with a token and its proof.
func NewStep(t bergamotrequest.Token, p Proof) Step { return Step{token: t, proof: p} }

// NewHeartbeat returns a heartbeat, which shows that the connection is alive.
func NewHeartbeat() Step { return Step{heartbeat: true} }

// IsHeartbeat reports whether the step is a heartbeat without a token.
func (s Step) IsHeartbeat() bool { return s.heartbeat }

// Token returns the token.
func (s Step) Token() bergamotrequest.Token { return s.token }

// Proof returns the proof of the token.
func (s Step) Proof() Proof { return s.proof }
