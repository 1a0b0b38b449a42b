package bergamotrate

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"bergamotspur/core/bergamotmirror"
)

const (
	// askTimeout is how long the answer to a query for permits may take. Between two entries it takes 2 ms, on a machine that is slowed
	// down by other work up to 100 ms.
	askTimeout = 150 * time.Millisecond
	// minAskInterval is the shortest time between two queries. Those of the entries that follow this one are asked for together.
	minAskInterval = 5 * time.Millisecond
	// avoidTime is how long an entry that did not answer is not asked.
	avoidTime = 500 * time.Millisecond
	// maxHops is the largest number of entries that a query passes: three followers, their hub, another hub and the owner.
	maxHops = 6
	// maxWants is the largest number of processes in one query; further ones wait for the next.
	maxWants = 256
	// tidyInterval is the time between two removals of what belongs to limits that have ended.
	tidyInterval = 5 * time.Second
)

// ErrNoOwner is returned while no owner of the limits is reached.
var ErrNoOwner = errors.New("no entry that gives out permits is reached")

// Network sends queries for permits to other entries.
type Network interface {
	// Permits asks an entry for permits and returns those that the owner gave out. hops is the number of entries that the query has
	// passed.
	Permits(ctx context.Context, to bergamotmirror.Peer, wants []Want, hops int) (Permits, error)
}

// Directory knows the ways to the owner.
type Directory interface {
	// IsOwner reports whether this entry is the owner at this moment.
	IsOwner() bool
	// Toward returns the entries over which the owner may be reached, the best one first.
	Toward() []bergamotmirror.Peer
	// Lead returns the entry that makes the limits known to those of other data centres, unless this one does; ok is false if there is
	// none.
	Lead() (peer bergamotmirror.Peer, ok bool)
}

// Broker gets permits for this entry and for those that ask it, and gives them out while this entry is the owner.
type Broker struct {
	Clock     Clock
	Registry  *Registry
	Pool      *Pool
	Network   Network
	Directory Directory
	Random    func(n int) int // returns a number from 0 to n-1
	// IsKnown reports whether a process is in the list of runners.
	IsKnown func(process string) bool
	// OnAsk is called after each query, with the entry that was asked, empty for this one.
	OnAsk func(to string, wanted, given int, err error)
	// OnOwner is called when this entry becomes or ceases to be the owner.
	OnOwner func(owner bool)
	// OnChange is called for each limit that begins, changes or ends, with the one before, which has ended if there was none.
	OnChange func(l, before Limit)

	mu      sync.Mutex
	queries []*query // of other entries
	news    []Limit  // limits that the entries towards the owner have to learn
	wake    chan struct{}
	avoid   map[string]time.Time // by entry
	issuer  issuer
	owner   bool
	tidied  time.Time
}

// query is one of another entry that waits for permits.
type query struct {
	wants []Want
	hops  int
	given Permits
	err   error
	done  chan struct{}
}

// Init prepares the broker, its registry and its pool for use.
func (b *Broker) Init() {
	b.wake = make(chan struct{}, 1)
	b.Registry.onChange, b.Pool.onWant = b.changed, b.Wake
}

// Named records that a process has named a limit of rate requests a second in an answer.
func (b *Broker) Named(process string, rate float64) { b.announce(b.Registry.named(process, rate)) }

// Unnamed records that a process has named no limit in an answer.
func (b *Broker) Unnamed(process string) {
	if b.Registry.Any() {
		b.announce(b.Registry.unnamed(process))
	}
}

// changed applies a limit that is new to the registry.
func (b *Broker) changed(l, before Limit) {
	if !l.ended && !before.ended && l.rate < before.rate {
		b.Pool.reduce(l.process, l.rate)
	}
	b.OnChange(l, before)
}

// Wake makes Run look for permits that are wanted. It does not block.
func (b *Broker) Wake() {
	select {
	case b.wake <- struct{}{}:
	default: // it is about to look
	}
}

// announce passes limits on that this entry has learned from a runner or from an entry that follows it.
func (b *Broker) announce(news []Limit) {
	if len(news) == 0 {
		return
	}
	b.mu.Lock()
	b.news = append(b.news, news...)
	b.news = b.news[:min(len(b.news), maxWants)] // the others are learned from queries for permits
	b.mu.Unlock()
	b.Wake()
}

// Run gets permits until ctx ends; it returns the error of ctx.
func (b *Broker) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		}
		b.Step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.Clock.After(minAskInterval):
		}
	}
}

// Answer gets permits for another entry.
func (b *Broker) Answer(ctx context.Context, wants []Want, hops int) (Permits, error) {
	var limits []Limit
	wanted := false
	for _, w := range wants {
		limits = append(limits, w.limit)
		wanted = wanted || w.number > 0
	}
	b.announce(b.Registry.Learn(limits, true))
	if !wanted {
		return Permits{}, nil
	}
	if hops >= maxHops {
		return nil, ErrNoOwner
	}
	q := &query{wants: wants[:min(len(wants), maxWants)], hops: hops, done: make(chan struct{})}
	b.mu.Lock()
	b.queries = append(b.queries, q)
	b.mu.Unlock()
	b.Wake()
	select {
	case <-q.done:
		return q.given, q.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Step gets the permits that are wanted now.
func (b *Broker) Step(ctx context.Context) {
	b.tidy()
	b.mu.Lock()
	queries, news := b.queries, b.news
	b.queries, b.news = nil, nil
	b.mu.Unlock()
	own, waiting := b.Pool.wants()
	defer func() {
		for _, c := range waiting {
			close(c)
		}
		for _, q := range queries {
			close(q.done)
		}
	}()
	total, hops := map[string]int{}, 0
	for process, n := range own {
		total[process] += n
	}
	for _, q := range queries {
		hops = max(hops, q.hops)
		for _, w := range q.wants {
			total[w.limit.process] += min(w.number, maxWanted)
		}
	}
	owner := b.isOwner()
	if len(news) > 0 {
		b.passOn(ctx, news)
	}
	if len(total) == 0 {
		return
	}
	sent := b.Clock.Now()
	given, err := Permits{}, error(nil)
	if owner {
		given = b.issue(total)
	} else {
		given, err = b.ask(ctx, total, hops+1)
	}
	if err != nil {
		for _, q := range queries {
			q.err = err
		}
		return
	}
	b.divide(sent, own, queries, given)
}

// divide shares the permits that were given out between this entry and those that have asked it.
func (b *Broker) divide(sent time.Time, own map[string]int, queries []*query, given Permits) {
	for _, q := range queries {
		q.given = Permits{}
	}
	mine := Permits{}
	for process, n := range given {
		wanted := []int{own[process]}
		for _, q := range queries {
			wanted = append(wanted, q.wanted(process))
		}
		parts := share(n, wanted, b.Random(len(wanted)))
		mine[process] = parts[0]
		for i, q := range queries {
			if parts[i+1] > 0 {
				q.given[process] = parts[i+1]
			}
		}
	}
	b.Pool.put(sent, own, mine)
}

// wanted returns how many permits of a process a query is for.
func (q *query) wanted(process string) (n int) {
	for _, w := range q.wants {
		if w.limit.process == process {
			n += w.number
		}
	}
	return n
}

// isOwner reports whether this entry is the owner, and begins with no permits each time it becomes that.
func (b *Broker) isOwner() bool {
	owner := b.Directory.IsOwner()
	if owner != b.owner {
		b.owner = owner
		b.issuer.reset()
		b.OnOwner(owner)
	}
	return owner
}

// issue gives permits out as the owner.
func (b *Broker) issue(wanted map[string]int) Permits {
	given, now, sum, all := Permits{}, b.Clock.Now(), 0, 0
	for process, n := range wanted {
		all += n
		rate, limited := b.Registry.Rate(process)
		if !limited {
			given[process] = n // its limit has ended, which the others are about to learn
		} else if rate > 0 {
			given[process] = b.issuer.issue(now, process, rate, n)
		}
		sum += given[process]
	}
	if !b.Directory.IsOwner() { // the process may have been paused since the first check
		given, sum = Permits{}, 0
	}
	b.OnAsk("", all, sum, nil)
	return given
}

// ask asks the entries towards the owner, one after the other.
func (b *Broker) ask(ctx context.Context, wanted map[string]int, hops int) (Permits, error) {
	wants := b.encode(wanted)
	all := 0
	for _, w := range wants {
		all += w.number
	}
	last := ErrNoOwner
	for _, peer := range b.Directory.Toward() {
		if b.isAvoided(peer.Name()) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, askTimeout)
		given, err := b.Network.Permits(bounded, peer, wants, hops)
		cancel()
		sum := 0
		for _, n := range given {
			sum += n
		}
		b.OnAsk(peer.Name(), all, sum, err)
		if err == nil {
			return given, nil
		}
		last = err
		b.setAvoided(peer.Name())
	}
	return nil, last
}

// encode returns the wants for a number of permits of each process, in the order of their names.
func (b *Broker) encode(wanted map[string]int) (wants []Want) {
	for process, n := range wanted {
		if l, _, ok := b.Registry.Limit(process); ok {
			wants = append(wants, NewWant(l, n))
		}
	}
	slices.SortFunc(wants, func(x, y Want) int { return strings.Compare(x.limit.process, y.limit.process) })
	return wants[:min(len(wants), maxWants)]
}

// passOn tells the entries towards the owner, and the one that makes limits known elsewhere, about limits. They also learn them from the next
// query for permits, so that nothing is repeated.
func (b *Broker) passOn(ctx context.Context, news []Limit) {
	var wants []Want
	for _, l := range news {
		wants = append(wants, NewWant(l, 0))
	}
	peers := b.Directory.Toward()
	peers = peers[:min(len(peers), 1)]
	if lead, ok := b.Directory.Lead(); ok && !slices.Contains(peers, lead) {
		peers = append(peers, lead)
	}
	for _, peer := range peers {
		if b.isAvoided(peer.Name()) {
			continue
		}
		bounded, cancel := context.WithTimeout(ctx, askTimeout)
		if _, err := b.Network.Permits(bounded, peer, wants, maxHops-1); err != nil {
			b.setAvoided(peer.Name())
			b.OnAsk(peer.Name(), 0, 0, err)
		}
		cancel()
	}
}

func (b *Broker) isAvoided(name string) bool { return b.Clock.Now().Before(b.avoid[name]) }

func (b *Broker) setAvoided(name string) {
	if b.avoid == nil {
		b.avoid = map[string]time.Time{}
	}
	b.avoid[name] = b.Clock.Now().Add(avoidTime)
}

// tidy removes what belongs to limits and entries of the past.
func (b *Broker) tidy() {
	now := b.Clock.Now()
	if now.Sub(b.tidied) < tidyInterval {
		return
	}
	b.tidied = now
	b.Registry.Retain(b.IsKnown)
	b.Pool.retain()
	b.issuer.retain(func(process string) bool { _, ok := b.Registry.Rate(process); return ok })
	for name, until := range b.avoid {
		if !now.Before(until) {
			delete(b.avoid, name)
		}
	}
}
