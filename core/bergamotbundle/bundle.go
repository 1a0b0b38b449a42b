package bergamotbundle

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Bundle is one checked version of what the operators declare.
type Bundle struct {
	version    int64
	parent     string
	digest     string
	text       []byte
	needed     int
	policy     Policy
	models     map[string]Model
	adapters   map[string]Adapter
	pipelines  map[string]Pipeline
	services   map[string]Service
	workspaces map[string]Workspace
	operators  map[string]Operator
	kinds      map[string]Kind
	byKey      map[string]string
}

// Digest returns the hexadecimal SHA-256 digest that names a bundle text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// IsDigest tells whether s has the form of a digest; only lower case counts, since digests are compared as text.
func IsDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && s == hex.EncodeToString(b)
}

// HashKey returns the hexadecimal SHA-256 digest under which a bundle stores a bearer key.
func HashKey(key string) string { return Digest([]byte(key)) }

// Version returns the version, which only goes up.
func (b *Bundle) Version() int64 { return b.version }

// Parent returns the digest of the version before, empty for the first.
func (b *Bundle) Parent() string { return b.parent }

// Digest returns the digest of the bundle text.
func (b *Bundle) Digest() string { return b.digest }

// Text returns the bundle text, which callers must not change.
func (b *Bundle) Text() []byte { return b.text }

// Needed returns how many operators must approve the next version.
func (b *Bundle) Needed() int { return b.needed }

// Policy returns the weights of the measures of service.
func (b *Bundle) Policy() Policy { return b.policy }

// Model returns the model of that name.
func (b *Bundle) Model(name string) (m Model, ok bool) {
	m, ok = b.models[name]
	return m, ok
}

// Models returns the names of the models in order.
func (b *Bundle) Models() []string { return sorted(b.models) }

// Adapter returns the adapter of that name.
func (b *Bundle) Adapter(name string) (a Adapter, ok bool) {
	a, ok = b.adapters[name]
	return a, ok
}

// Adapters returns the names of the adapters in order.
func (b *Bundle) Adapters() []string { return sorted(b.adapters) }

// Pipeline returns the pipeline of that name.
func (b *Bundle) Pipeline(name string) (p Pipeline, ok bool) {
	p, ok = b.pipelines[name]
	return p, ok
}

// Pipelines returns the names of the pipelines in order.
func (b *Bundle) Pipelines() []string { return sorted(b.pipelines) }

// Service returns the service of that name.
func (b *Bundle) Service(name string) (s Service, ok bool) {
	s, ok = b.services[name]
	return s, ok
}

// Services returns the names of the services in order.
func (b *Bundle) Services() []string { return sorted(b.services) }

// Workspace returns the workspace of that name.
func (b *Bundle) Workspace(name string) (w Workspace, ok bool) {
	w, ok = b.workspaces[name]
	return w, ok
}

// Workspaces returns the names of the workspaces in order.
func (b *Bundle) Workspaces() []string { return sorted(b.workspaces) }

// WorkspaceByKey returns the workspace that owns a bearer key.
func (b *Bundle) WorkspaceByKey(key string) (w Workspace, ok bool) {
	name, ok := b.byKey[HashKey(key)]
	if !ok {
		return Workspace{}, false
	}
	return b.Workspace(name)
}

// Operator returns the operator of that name.
func (b *Bundle) Operator(name string) (o Operator, ok bool) {
	o, ok = b.operators[name]
	return o, ok
}

// Operators returns the names of the operators in order.
func (b *Bundle) Operators() []string { return sorted(b.operators) }

// Kind returns the kind of accelerator of that name.
func (b *Bundle) Kind(name string) (k Kind, ok bool) {
	k, ok = b.kinds[name]
	return k, ok
}

// Kinds returns the names of the kinds of accelerators in order.
func (b *Bundle) Kinds() []string { return sorted(b.kinds) }

func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
