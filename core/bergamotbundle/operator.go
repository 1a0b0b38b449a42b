package bergamotbundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"strings"
)

// Operator is a person who may approve bundles.
type Operator struct {
	name string
	key  ed25519.PublicKey
}

// NewOperator returns an operator with a public key.
func NewOperator(name string, key ed25519.PublicKey) Operator { return Operator{name: name, key: key} }

// ParseOperator returns an operator with a public key in base64, or an error if the name or the key is malformed.
func ParseOperator(name, key string) (o Operator, err error) {
	// The name is part of the names of objects and of the list of operators in the section [trust] of the settings.
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !strings.ContainsRune(nameRunes, r) }) {
		return o, errors.New("name of an operator has only lower-case letters, digits and -")
	}
	b, err := base64.StdEncoding.DecodeString(key)
	if err != nil || len(b) != ed25519.PublicKeySize {
		return o, errors.New("is not an Ed25519 public key in base64")
	}
	return NewOperator(name, b), nil
}

const nameRunes = "abcdefghijklmnopqrstuvwxyz0123456789-"

// Name returns the name of the operator.
func (o Operator) Name() string { return o.name }

// Key returns the public key that verifies the operator's approvals.
func (o Operator) Key() ed25519.PublicKey { return o.key }
