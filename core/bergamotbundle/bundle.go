package bergamotbundle

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Bundle is one validated version of the configuration that all entries share.
type Bundle struct {
	version        int64
	parent         string
	digest         string
	text           []byte
	needed         int
	policy         Policy
	models         map[string]Model
	adapters       map[string]Adapter
	pipelines      map[string]Pipeline
	services       map[string]Service
	workspaces     map[string]Workspace
	operators      map[string]Operator
	kinds          map[string]Kind
	workspaceByKey map[string]string // name of the workspace, by the digest of a bearer key
}

// Digest returns the SHA-256 digest of a bundle text in hexadecimal.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// IsDigest reports whether s is a SHA-256 digest in lower-case hexadecimal; digests are compared as text, so that upper
// case is not accepted.
func IsDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && s == hex.EncodeToString(b)
}

// HashKey returns the SHA-256 digest in hexadecimal that a bundle holds instead of a bearer key.
func HashKey(key string) string { return Digest([]byte(key)) }

// Version returns the version, which increases with each rollout.
func (b *Bundle) Version() int64 { return b.version }

// Parent returns the digest of the previous version, empty for version 1.
func (b *Bundle) Parent() string { return b.parent }

// Digest returns the digest of the bundle text.
func (b *Bundle) Digest() string { return b.digest }

// Text returns the bundle text, which the caller must not change.
func (b *Bundle) Text() []byte { return b.text }

// NeededApprovals returns how many operators must approve the next version.
func (b *Bundle) NeededApprovals() int { return b.needed }

// Policy returns the weights of the measures of service quality.
func (b *Bundle) Policy() Policy { return b.policy }

// Model returns the model with that name.
func (b *Bundle) Model(name string) (m Model, ok bool) {
	m, ok = b.models[name]
	return m, ok
}

// Models returns the names of the models, sorted.
func (b *Bundle) Models() []string { return sorted(b.models) }

// Adapter returns the adapter with that name.
func (b *Bundle) Adapter(name string) (a Adapter, ok bool) {
	a, ok = b.adapters[name]
	return a, ok
}

// Adapters returns the names of the adapters, sorted.
func (b *Bundle) Adapters() []string { return sorted(b.adapters) }

// Pipeline returns the pipeline with that name.
func (b *Bundle) Pipeline(name string) (p Pipeline, ok bool) {
	p, ok = b.pipelines[name]
	return p, ok
}

// Pipelines returns the names of the pipelines, sorted.
func (b *Bundle) Pipelines() []string { return sorted(b.pipelines) }

// Service returns the service with that name.
func (b *Bundle) Service(name string) (s Service, ok bool) {
	s, ok = b.services[name]
	return s, ok
}

// Services returns the names of the services, sorted.
func (b *Bundle) Services() []string { return sorted(b.services) }

// Workspace returns the workspace with that name.
func (b *Bundle) Workspace(name string) (w Workspace, ok bool) {
	w, ok = b.workspaces[name]
	return w, ok
}

// Workspaces returns the names of the workspaces, sorted.
func (b *Bundle) Workspaces() []string { return sorted(b.workspaces) }

// WorkspaceByKey returns the workspace that owns a bearer key.
func (b *Bundle) WorkspaceByKey(key string) (w Workspace, ok bool) {
	name, ok := b.workspaceByKey[HashKey(key)]
	if !ok {
		return Workspace{}, false
	}
	return b.Workspace(name)
}

// Operator returns the operator with that name.
func (b *Bundle) Operator(name string) (o Operator, ok bool) {
	o, ok = b.operators[name]
	return o, ok
}

// Operators returns the names of the operators, sorted.
func (b *Bundle) Operators() []string { return sorted(b.operators) }

// Kind returns the kind of accelerator with that name.
func (b *Bundle) Kind(name string) (k Kind, ok bool) {
	k, ok = b.kinds[name]
	return k, ok
}

// Kinds returns the names of the kinds of accelerators, sorted.
func (b *Bundle) Kinds() []string { return sorted(b.kinds) }

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
