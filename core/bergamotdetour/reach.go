package bergamotdetour

import "time"

// Reach tells whether this entry reaches runners at all, by its own links or over another entry.
type Reach struct {
	Links   *Links
	Helpers interface{ Available() bool }
}

// IsIsolated reports whether the links are lost and no other entry helps.
func (r *Reach) IsIsolated() bool { return r.Links.AreLost() && !r.Helpers.Available() }

// SilentSince returns since when connections to runners that were open then are silent, while others can be opened over a helper.
// Without a helper, a silent connection may be the first to work again.
func (r *Reach) SilentSince() (t time.Time, ok bool) {
	t, ok = r.Links.SilentSince()
	return t, ok && r.Helpers.Available()
}
