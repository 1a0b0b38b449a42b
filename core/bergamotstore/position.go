package bergamotstore

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the table service. After the service was restored from an older copy, it gives the
// version numbers of the lost writes out again, so that a number alone does not order two points.
type Position struct {
	era    int64
	number int64
}

// NewPosition returns the point at a version number of an era. Eras rise with each restore of the table service, from 1; 0
// stands for a service that names none.
func NewPosition(era, number int64) Position { return Position{era: era, number: number} }

// Era returns the era, 0 if it is not known.
func (p Position) Era() int64 { return p.era }

// Number returns the version number within the era.
func (p Position) Number() int64 { return p.number }

// Compare returns -1 if p is before q, 0 if they are the same point and 1 if p is after q. All points of an era are after
// those of the eras before it.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.era, q.era), cmp.Compare(p.number, q.number))
}

// SameEra reports whether p and q are of the same era as far as that is known.
func (p Position) SameEra(q Position) bool { return p.era == q.era || p.era == 0 || q.era == 0 }

// IsBefore reports whether p is before q. If one of the eras is not known, the numbers decide.
func (p Position) IsBefore(q Position) bool {
	if p.SameEra(q) {
		return p.number < q.number
	}
	return p.era < q.era
}

// String returns the era and the number.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.era, p.number) }
