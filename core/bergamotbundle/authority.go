package bergamotbundle

import "maps"

// Authority is the set of operators who may approve a bundle and the number of approvals that it needs.
type Authority struct {
	operators map[string]Operator
	needed    int
}

// NewAuthority returns an authority of the given operators, of whom needed must approve.
func NewAuthority(needed int, operators ...Operator) Authority {
	a := Authority{needed: needed, operators: map[string]Operator{}}
	for _, o := range operators {
		a.operators[o.name] = o
	}
	return a
}

// Authority returns the operators who may approve the next version.
func (b *Bundle) Authority() Authority {
	return Authority{operators: maps.Clone(b.operators), needed: b.needed}
}

// NeededApprovals returns how many operators must approve; 0 means that nothing can be approved.
func (a Authority) NeededApprovals() int { return a.needed }

// Operator returns the operator with that name.
func (a Authority) Operator(name string) (o Operator, ok bool) {
	o, ok = a.operators[name]
	return o, ok
}

// Names returns the names of the operators, sorted.
func (a Authority) Names() []string { return sorted(a.operators) }
