package bergamotsession

import (
	"fmt"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// Verifier checks that the tokens of one attempt arrive in order and that every layer ran exactly once
// for each token.
type Verifier struct {
	session string
	attempt int
	start   int
	next    int
	stages  []bergamotroute.Stage
}

// NewVerifier returns a verifier for an attempt whose first token is at position start.
func NewVerifier(session string, attempt, start int, plan bergamotroute.Plan) *Verifier {
	return &Verifier{session: session, attempt: attempt, start: start, next: start, stages: plan.Stages()}
}

// NextPosition returns the position of the next expected token.
func (v *Verifier) NextPosition() int { return v.next }

// Check returns an error unless p proves that t is the next expected token; only on success it advances to the position
// after t.
func (v *Verifier) Check(t bergamotrequest.Token, p Proof) error {
	if p.session != v.session || p.attempt != v.attempt {
		return fmt.Errorf("token of session %s attempt %d in session %s attempt %d", p.session, p.attempt, v.session, v.attempt)
	}
	if p.position != v.next || t.Position() != v.next {
		return fmt.Errorf("token at position %d with proof for %d, expected %d", t.Position(), p.position, v.next)
	}
	if len(p.receipts) != len(v.stages) {
		return fmt.Errorf("%d stages ran at position %d, planned %d", len(p.receipts), v.next, len(v.stages))
	}
	digest := FirstDigest(v.session, v.attempt, v.next)
	for n, s := range v.stages {
		planned := NewReceipt(s.From(), s.To(), v.next-v.start+1)
		if p.receipts[n] != planned {
			return fmt.Errorf("stage %d ran %+v at position %d, planned %+v", n, p.receipts[n], v.next, planned)
		}
		digest = NextDigest(digest, planned)
	}
	if LastDigest(digest, t.ID()) != p.digest {
		return fmt.Errorf("digest of the proof at position %d does not match", v.next)
	}
	v.next++
	return nil
}
