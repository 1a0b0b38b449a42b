package bergamotrollout

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
)

// signPrefix is signed in front of the digest, so that the signature is not valid for anything else that is signed
// with the same key.
const signPrefix = "bergamotspur bundle "

// Approval is the signature of one operator on the digest of a bundle.
type Approval struct {
	operator  string
	digest    string
	signature []byte
}

// Sign returns the approval of a digest by operator, signed with the operator's private key.
func Sign(operator, digest string, key ed25519.PrivateKey) Approval {
	return Approval{operator: operator, digest: digest, signature: ed25519.Sign(key, []byte(signPrefix+digest))}
}

// Operator returns the name of the operator who signed.
func (a Approval) Operator() string { return a.operator }

// Digest returns the digest that was signed.
func (a Approval) Digest() string { return a.digest }

// Valid reports whether the approval names o and carries a signature of the digest by the key of o.
func (a Approval) Valid(o bergamotbundle.Operator) bool {
	return a.operator == o.Name() && len(o.Key()) == ed25519.PublicKeySize &&
		ed25519.Verify(o.Key(), []byte(signPrefix+a.digest), a.signature)
}

type approvalFields struct {
	Operator  string `json:"operator"`
	Digest    string `json:"digest"`
	Signature []byte `json:"signature"`
}

// Encode returns the content of the object that stores the approval.
func (a Approval) Encode() ([]byte, error) { return json.Marshal(a.fields()) }

// DecodeApproval returns the approval that an object contains, or an error if a field is missing or malformed. It
// does not verify the signature.
func DecodeApproval(data []byte) (a Approval, err error) {
	defer func() { err = oops.In("rollout").Wrapf(err, "decode approval") }()
	var f approvalFields
	if err = json.Unmarshal(data, &f); err != nil {
		return a, err
	}
	return f.approval(), f.check()
}

func (a Approval) fields() approvalFields {
	return approvalFields{Operator: a.operator, Digest: a.digest, Signature: a.signature}
}

func (f approvalFields) approval() Approval {
	return Approval{operator: f.Operator, digest: f.Digest, signature: f.Signature}
}

func (f approvalFields) check() error {
	if f.Operator == "" || !bergamotbundle.IsDigest(f.Digest) || len(f.Signature) != ed25519.SignatureSize {
		return errors.New("operator, digest or signature is missing or malformed")
	}
	return nil
}

// ApprovalName returns the name of the object that holds the approval of a digest by an operator.
func ApprovalName(digest, operator string) string { return "approval-" + digest + "-" + operator }

// signers returns the names of the operators of a with a valid approval of digest, sorted.
func signers(a bergamotbundle.Authority, digest string, approvals []Approval) (names []string) {
	for _, name := range a.Names() {
		o, _ := a.Operator(name)
		for _, approval := range approvals {
			if approval.digest == digest && approval.Valid(o) {
				names = append(names, name)
				break
			}
		}
	}
	return names
}

// hasEnoughApprovals reports whether as many operators of a approved digest as a requires.
func hasEnoughApprovals(a bergamotbundle.Authority, digest string, approvals []Approval) bool {
	return a.NeededApprovals() > 0 && len(signers(a, digest, approvals)) >= a.NeededApprovals()
}
