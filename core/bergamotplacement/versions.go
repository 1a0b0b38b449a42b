package bergamotplacement

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotfleet"
)

// Clock returns the current time.
type Clock interface{ Now() time.Time }

// Versions caches the version of each pipeline's model that new requests should use, since computing it counts the
// holdings of all runners.
type Versions struct {
	Clock  Clock
	MaxAge time.Duration // longest time for which versions are reused after the fleet changed

	mu         sync.Mutex
	bundle     *bergamotbundle.Bundle
	fleet      *bergamotfleet.Fleet
	computedAt time.Time
	versions   map[string]string
}

// Version returns the version that ServedVersion returns, or the declared one if none is held completely.
func (v *Versions) Version(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock.Now()
	if v.bundle != b || (v.fleet != f && now.Sub(v.computedAt) >= v.MaxAge) {
		v.bundle, v.fleet, v.computedAt, v.versions = b, f, now, servedVersions(b, f)
	}
	if version, ok := v.versions[p.Name()]; ok {
		return version
	}
	return p.Model().Version()
}

// VersionAvoiding returns the version to use if the instances to avoid turned out not to hold what they reported.
func (*Versions) VersionAvoiding(b *bergamotbundle.Bundle, p bergamotbundle.Pipeline, f *bergamotfleet.Fleet, avoid map[string]bool) string {
	if version, ok := usableCoverage(b, f, avoid).version(p); ok {
		return version
	}
	return p.Model().Version()
}

// servedVersions returns the version of each pipeline that runners hold completely.
func servedVersions(b *bergamotbundle.Bundle, f *bergamotfleet.Fleet) map[string]string {
	c := usableCoverage(b, f, nil)
	versions := map[string]string{}
	for _, name := range b.Pipelines() {
		p, _ := b.Pipeline(name)
		if version, ok := c.version(p); ok {
			versions[name] = version
		}
	}
	return versions
}
