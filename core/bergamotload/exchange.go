package bergamotload

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotmirror"
)

const (
	// MaxWait is how long the answer to a query for reports may take.
	MaxWait = 500 * time.Millisecond
	// minExchangeInterval is the shortest time between two queries to the same entry, so that an answer has many reports.
	minExchangeInterval = 200 * time.Millisecond
	answerTimeout       = 300 * time.Millisecond // for an answer in addition to the wait
)

// Network sends queries for reports to other entries.
type Network interface {
	// Reports returns the reports that were added to the board of an entry after a version, and the new version. If own is
	// set, it returns only those of runners that the entry has asked itself.
	Reports(ctx context.Context, to bergamotmirror.Peer, version int64, own bool, wait time.Duration) (reports []Report, now int64, err error)
}

// Peers selects the entries to get reports from.
type Peers interface {
	// Upstream returns the entry that this one follows; ok is false if there is none.
	Upstream(storeUnreachable bool) (peer bergamotmirror.Peer, ok bool)
	// Leads returns the entries that ask the runners of the other data centres, and the one of this data centre unless
	// this entry does.
	Leads() []bergamotmirror.Peer
}

// Exchange gets reports from other entries: an entry that asks runners itself gets the others' own reports, and all others
// get all reports from the entry that they follow.
type Exchange struct {
	Clock     Clock
	Network   Network
	Peers     Peers
	Board     *Board
	OnReports func(reports []Report) // called with reports that are new to the board
	// OnFailure is called for each entry that did not answer, nil for none.
	OnFailure func(peer string, err error)

	mu       sync.Mutex
	versions map[string]int64 // version of the board of each entry, by name
	asking   map[string]bool  // entries that have not answered yet, by name
	inFlight sync.WaitGroup
}

// Run gets reports until ctx ends; it returns the error of ctx.
func (e *Exchange) Run(ctx context.Context) error {
	defer e.inFlight.Wait()
	for {
		e.Step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.Clock.After(minExchangeInterval):
		}
	}
}

// Step sends a query to each entry to get reports from, unless it has not answered the last one yet.
func (e *Exchange) Step(ctx context.Context) {
	peers, own := e.sources()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.asking == nil {
		e.asking, e.versions = map[string]bool{}, map[string]int64{}
	}
	for _, p := range peers {
		if e.asking[p.Name()] {
			continue
		}
		e.asking[p.Name()] = true
		version := e.versions[p.Name()]
		e.inFlight.Go(func() { e.ask(ctx, p, version, own) })
	}
}

// ask sends a query to an entry and applies its answer.
func (e *Exchange) ask(ctx context.Context, p bergamotmirror.Peer, version int64, own bool) {
	ctx, cancel := context.WithTimeout(ctx, MaxWait+answerTimeout)
	defer cancel()
	reports, version, err := e.Network.Reports(ctx, p, version, own, MaxWait)
	e.mu.Lock()
	delete(e.asking, p.Name())
	delete(e.versions, p.Name()) // after an error, the next query asks for all reports
	if err == nil {
		e.versions[p.Name()] = version
	}
	e.mu.Unlock()
	if err != nil && e.OnFailure != nil {
		e.OnFailure(p.Name(), err)
	}
	if news := e.Board.Put(reports, false); err == nil && len(news) > 0 {
		e.OnReports(news)
	}
}

// Wait waits until all entries that were asked have answered.
func (e *Exchange) Wait() { e.inFlight.Wait() }

// sources returns the entries to get reports from, and whether to get only those that they asked runners for.
func (e *Exchange) sources() (peers []bergamotmirror.Peer, own bool) {
	if p, ok := e.Peers.Upstream(false); ok {
		return []bergamotmirror.Peer{p}, false
	}
	return e.Peers.Leads(), true
}

// Answer returns the reports that were added to the board after a version as soon as there are any, or none after a wait,
// and the new version. If own is set, it returns only those of runners that this entry has asked itself.
func (e *Exchange) Answer(ctx context.Context, version int64, own bool, wait time.Duration) (reports []Report, now int64) {
	timeout := e.Clock.After(min(wait, MaxWait))
	for {
		reports, now, changed := e.Board.Since(version, own)
		if len(reports) > 0 {
			return reports, now
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, now
		case <-ctx.Done():
			return nil, now
		}
	}
}
