package bergamotsession

import (
	"fmt"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// Verifier checks that the tokens of one attempt follow each other and that every layer ran once for each.
type Verifier struct {
	session string
	attempt int
	start   int
	next    int
	stages  []bergamotroute.Stage
}

// NewVerifier returns a verifier for an attempt whose first token stands at position start.
func NewVerifier(session string, attempt, start int, plan bergamotroute.Plan) *Verifier {
	return &Verifier{session: session, attempt: attempt, start: start, next: start, stages: plan.Stages()}
}

// Next returns the position of the token that is expected next.
func (v *Verifier) Next() int { return v.next }

// Check returns an error unless p proves that t is the next token; only then it moves on.
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
		want := NewReceipt(s.From(), s.To(), v.next-v.start+1)
		if p.receipts[n] != want {
			return fmt.Errorf("stage %d ran %+v at position %d, planned %+v", n, p.receipts[n], v.next, want)
		}
		digest = NextDigest(digest, want)
	}
	if LastDigest(digest, t.ID()) != p.digest {
		return fmt.Errorf("digest of the proof at position %d does not match", v.next)
	}
	v.next++
	return nil
}
