package bergamotbundle

import "crypto/ed25519"

// Operator is a person who may approve bundles.
type Operator struct {
	name string
	key  ed25519.PublicKey
}

// NewOperator returns an operator with a public key.
func NewOperator(name string, key ed25519.PublicKey) Operator { return Operator{name: name, key: key} }

// Name returns the name of the operator.
func (o Operator) Name() string { return o.name }

// Key returns the public key that checks the operator's approvals.
func (o Operator) Key() ed25519.PublicKey { return o.key }
