package bergamotbundle

import "maps"

// Authority is the operators who may approve a bundle and how many of them are needed.
type Authority struct {
	operators map[string]Operator
	needed    int
}

// NewAuthority returns an authority of operators by name.
func NewAuthority(needed int, operators ...Operator) Authority {
	a := Authority{needed: needed, operators: map[string]Operator{}}
	for _, o := range operators {
		a.operators[o.name] = o
	}
	return a
}

// Authority returns who must approve the next version.
func (b *Bundle) Authority() Authority {
	return Authority{operators: maps.Clone(b.operators), needed: b.needed}
}

// Needed returns how many operators must approve; with 0 nothing can be approved.
func (a Authority) Needed() int { return a.needed }

// Operator returns the operator of that name.
func (a Authority) Operator(name string) (o Operator, ok bool) {
	o, ok = a.operators[name]
	return o, ok
}

// Names returns the names of the operators in order.
func (a Authority) Names() []string { return sorted(a.operators) }
