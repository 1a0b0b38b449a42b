package bergamotplacement

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Versions tells which version of a pipeline's model new requests should use, and keeps the answer for a while,
// since each counts the holdings of all runners.
type Versions struct {
	Clock Clock
	Age   time.Duration // longest time for which an answer is kept while the instances change

	mu     sync.Mutex
	bundle *bergamotbundle.Bundle
	fleet  *bergamotfleet.Fleet
	at     time.Time
	known  map[string]string
}

// Version returns the version that Serving names, or the declared one when none is held completely.
func (v *Versions) Version(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	if v.bundle != b || (v.fleet != f && now.Sub(v.at) >= v.Age) {
		v.bundle, v.fleet, v.at, v.known = b, f, now, served(b, f)
	}
	if version, ok := v.known[p.Name()]; ok {
		return version
	}
	return p.Model().Version()
}

// VersionWithout returns the version to use when some instances turned out not to hold what they had reported.
func (*Versions) VersionWithout(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet, avoid map[string]bool) string {
	if version, ok := cover(b, f, avoid).version(p); ok {
		return version
	}
	return p.Model().Version()
}

// served returns the version of each pipeline that is held completely.
func served(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet) map[string]string {
	c := cover(b, f, nil)
	known := map[string]string{}
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		if version, ok := c.version(p); ok {
			known[name] = version
		}
	}
	return known
}
