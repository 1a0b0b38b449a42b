package bergamotmirror

import (
	"maps"
	"time"
)

// avoidDuration is how long an entry that did not answer is not asked again. A process that was killed is back after
// about a second.
const avoidDuration = 2 * time.Second

// avoidance is why an entry is not asked for a while.
type avoidance struct {
	until    time.Duration
	outdated bool // it answered, with a copy that is too old
}

// Avoid stops following an entry that does not answer or cannot be followed.
func (p *Peers) Avoid(name string) { p.avoidFor(name, false) }

// AvoidOutdated stops following an entry whose copy is too old.
func (p *Peers) AvoidOutdated(name string) { p.avoidFor(name, true) }

func (p *Peers) avoidFor(name string, outdated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.avoid == nil {
		p.avoid = map[string]avoidance{}
	}
	p.avoid[name] = avoidance{until: p.Now() + avoidDuration, outdated: outdated}
	if p.upstream.name == name {
		p.upstream = Peer{}
	}
}

// Readmit lets the entries be asked again whose copies were too old. When the store answers again after a restore, they are about
// to have the whole tables.
func (p *Peers) Readmit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.avoid, func(_ string, a avoidance) bool { return a.outdated })
}

// isAvoided reports whether an entry is not to be asked yet.
func (p *Peers) isAvoided(name string) bool {
	a, ok := p.avoid[name]
	if ok && p.Now() >= a.until {
		delete(p.avoid, name)
		return false
	}
	return ok
}
