package bergamotload

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotrate"
)

const (
	// MaxWait is how long the answer to a query for reports may take.
	MaxWait = 500 * time.Millisecond
	// minExchangeInterval is the shortest time between two queries to the same entry, so that an answer has many reports.
	minExchangeInterval = 200 * time.Millisecond
	answerTimeout       = 300 * time.Millisecond // for an answer in addition to the wait
)

// Query asks an entry for what is new about the runners.
type Query struct {
	Reports int64         // version of the board up to which the reports are known
	Limits  int64         // version of the registry up to which the limits are known
	Own     bool          // only what the entry has from the runners themselves, or from entries that follow it
	Wait    time.Duration // how long the answer may wait for news
}

// News is the answer to a query, with the versions for the next one.
type News struct {
	Reports       []Report
	Limits        []bergamotrate.Limit
	ReportVersion int64
	LimitVersion  int64
}

// Network sends queries to other entries.
type Network interface {
	// News returns what is new to an entry about the runners.
	News(ctx context.Context, to bergamotmirror.Peer, q Query) (News, error)
}

// Limits holds the limits that runners name.
type Limits interface {
	// Learn records limits of other entries; own is set if they come from entries that follow this one.
	Learn(limits []bergamotrate.Limit, own bool) (news []bergamotrate.Limit)
	// Since returns the limits that have changed after a version, the new version, and a channel that is closed at the next change.
	Since(version int64, own bool) (limits []bergamotrate.Limit, now int64, changed <-chan struct{})
}

// Peers selects the entries to get reports from.
type Peers interface {
	// Upstream returns the entry that this one follows; ok is false if there is none.
	Upstream(storeUnreachable bool) (peer bergamotmirror.Peer, ok bool)
	// Leads returns the entries that ask the runners of the other data centres, and the one of this data centre unless
	// this entry does.
	Leads() []bergamotmirror.Peer
}

// Exchange gets reports and limits of runners from other entries: a hub gets the others' own ones, and all others get all from the entry
// that they follow.
type Exchange struct {
	Clock     Clock
	Network   Network
	Peers     Peers
	Board     *Board
	Limits    Limits
	OnReports func(reports []Report) // called with reports that are new to the board
	// OnFailure is called for each entry that did not answer, nil for none.
	OnFailure func(peer string, err error)

	mu       sync.Mutex
	versions map[string]News // with the versions that are known of each entry, by name
	asking   map[string]bool // entries that have not answered yet, by name
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
		e.asking, e.versions = map[string]bool{}, map[string]News{}
	}
	for _, p := range peers {
		if e.asking[p.Name()] {
			continue
		}
		e.asking[p.Name()] = true
		known := e.versions[p.Name()]
		q := Query{Reports: known.ReportVersion, Limits: known.LimitVersion, Own: own, Wait: MaxWait}
		e.inFlight.Go(func() { e.ask(ctx, p, q) })
	}
}

// ask sends a query to an entry and applies its answer.
func (e *Exchange) ask(ctx context.Context, p bergamotmirror.Peer, q Query) {
	ctx, cancel := context.WithTimeout(ctx, MaxWait+answerTimeout)
	defer cancel()
	news, err := e.Network.News(ctx, p, q)
	e.mu.Lock()
	delete(e.asking, p.Name())
	delete(e.versions, p.Name()) // after an error, the next query asks for all
	if err == nil {
		e.versions[p.Name()] = News{ReportVersion: news.ReportVersion, LimitVersion: news.LimitVersion}
	}
	e.mu.Unlock()
	if err != nil && e.OnFailure != nil {
		e.OnFailure(p.Name(), err)
	}
	e.Limits.Learn(news.Limits, false)
	if reports := e.Board.Put(news.Reports, false); err == nil && len(reports) > 0 {
		e.OnReports(reports)
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

// Answer returns what is new to this entry about the runners as soon as there is anything, or nothing after the wait of the query.
func (e *Exchange) Answer(ctx context.Context, q Query) (n News) {
	timeout := e.Clock.After(min(q.Wait, MaxWait))
	for {
		reports, reportVersion, changed := e.Board.Since(q.Reports, q.Own)
		limits, limitVersion, limited := e.Limits.Since(q.Limits, q.Own)
		n = News{Reports: reports, Limits: limits, ReportVersion: reportVersion, LimitVersion: limitVersion}
		if len(reports)+len(limits) > 0 {
			return n
		}
		select {
		case <-changed:
		case <-limited:
		case <-timeout:
			return n
		case <-ctx.Done():
			return n
		}
	}
}
