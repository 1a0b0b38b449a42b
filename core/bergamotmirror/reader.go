package bergamotmirror

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotstore"
)

// MaxWait is how long a query to another entry waits for changes. Each answer shows that the entries in between are still
// reached, so that it bounds how long an entry can miss a change without noticing.
const MaxWait = time.Second

const (
	// hubWait is how long a read of the store waits for changes at an entry that others follow. Each answer shows that the
	// store is still reached.
	hubWait = 800 * time.Millisecond
	// answerTimeout is the time for an answer in addition to the wait. Between two entries of a region it takes 2 ms, on
	// a machine that is slowed down by other work 100 ms.
	answerTimeout = 300 * time.Millisecond
	// minDirectTimeout is the part of the time of a read that is left for the store after a query to another entry.
	minDirectTimeout = 400 * time.Millisecond
	// maxRelayTime is by how much the age of an answer that was passed on may exceed the wait of a hub before it does not
	// count as current, and the store is read instead: the longest pause between two reads of a hub. A change must be in
	// force two seconds after its acknowledgement even if the entry in between is frozen or cut off.
	maxRelayTime = 800 * time.Millisecond
	// chainedMargin is how much earlier than its followers a second hub reads the store because the answers of the first are
	// too old. Half of it is for the answer of the first, the other half for that of the store, which takes 5 ms.
	chainedMargin = 200 * time.Millisecond
	// minRetryTimeout is the shortest time in which the entry that is asked after another one failed can answer.
	minRetryTimeout = 100 * time.Millisecond
	// relayLevels is the number of entries between a hub and the last entry that follows it. Each may pass the answer of the one before on
	// one wait later; tables with a wait of their own need not be current sooner, and a call of each entry to the store for such
	// a table costs more than its age.
	relayLevels = 2
	// unreachableInterval is the time between two calls to the store while it does not answer and other entries do. They
	// pass the end of the outage on, so that only the hubs have to look for it more often.
	unreachableInterval    = 2 * time.Second
	hubUnreachableInterval = 400 * time.Millisecond
	// listWait and listTimeout are MaxWait and the time for the whole answer for a whole table. After a restart of all
	// entries 16 of them get 0.2 MB each from one whose link carries 50 Mbit/s, as soon as it has the table itself.
	listWait    = 600 * time.Millisecond
	listTimeout = 1200 * time.Millisecond
	// relayedListTimeout is the time for two entries that are asked for a whole table.
	relayedListTimeout = 2 * listTimeout
	// maxHubWait is how long the first read waits until the hubs are known, so that entries that start together do not all
	// read whole tables from the store.
	maxHubWait = 400 * time.Millisecond
	// entriesTTL is how long a count of all entries is used after a lower one arrived. The count falls while entries look
	// for another one to follow, and each entry uses its share of the retry budget until it is gone.
	entriesTTL = 30 * time.Second
)

// ErrStale is returned while neither the store nor another entry has a current version of a table.
var ErrStale = errors.New("no current version from other entries, and the store did not answer")

// Store reads tables of the store.
type Store interface {
	// List returns all rows and the position in the store's history that they reflect; storeTime is the store's monotonic
	// clock when it answered, 0 when it is not known.
	List(ctx context.Context, table string) (rows []bergamotstore.Row, p bergamotstore.Position, storeTime time.Duration, err error)
	// Changes returns the changes after a position as soon as there is one, or none when the wait has passed; storeTime is
	// the same as for List. It fails with bergamotstore.ErrHistoryDropped when the store no longer has these changes, or is
	// in another era; the position then has the era in which the store is, if it is known.
	Changes(ctx context.Context, table string, after bergamotstore.Position, wait time.Duration) (
		changes []bergamotstore.Change, p bergamotstore.Position, storeTime time.Duration, err error)
}

// Network sends queries to other entries.
type Network interface {
	// Ask returns the reply of the entry to; self is the address at which others can follow the entry that asks.
	Ask(ctx context.Context, to Peer, self Peer, q Query) (Reply, error)
}

// Clock returns the time since the machine booted, including suspended time, and signals when a duration has passed.
type Clock interface {
	Uptime() time.Duration
	After(d time.Duration) <-chan time.Time
}

// Reader reads tables from the store, or through another entry, and answers the queries of entries that follow this one.
// It may be used concurrently, but each table by one reader at a time.
type Reader struct {
	Clock   Clock
	Store   Store
	Network Network
	Peers   *Peers
	Self    func() Peer // returns this entry; without an address no other entry can follow it
	// Waits is how long a read of the store waits for changes at an entry that others follow, by table. Tables without one
	// have to show within two seconds that the store is still reached.
	Waits map[string]time.Duration
	// Newer compares rows of a table whose writer numbers them, by table. After a restore of the store from an older copy,
	// this entry's copy of the table keeps the rows that the restore took back until the writer writes them again.
	Newer map[string]RowOrder
	// OnUpstream is called when this entry follows another one than before, empty for the store.
	OnUpstream func(name string)

	era         eraTracker
	offset      clockOffset
	downstreams Downstreams
	unreachable atomic.Bool  // the last call to the store failed
	lastDirect  atomic.Int64 // start of the last call to the store, in nanoseconds of the clock

	mu      sync.Mutex
	mirrors map[string]*Mirror
	source  string         // entry that answered last, empty for the store
	path    []string       // entries between the store and this one
	asking  map[string]int // queries without an answer so far, by the entry that is asked
	counts  entryCounts
	vacant  bool // the data centre has too few hubs
}

// Init prepares the reader for use.
func (r *Reader) Init() {
	r.downstreams.Now = r.Clock.Uptime
	r.mirrors, r.asking = map[string]*Mirror{}, map[string]int{}
}

// List returns a whole table. The deadline of ctx is for the answer of the store; other entries may take up to
// relayedListTimeout and firstCopyTimeout before.
func (r *Reader) List(ctx context.Context, table string) (Reading, error) {
	end, hasDeadline := ctx.Deadline()
	timeout := time.Until(end)
	if hasDeadline {
		var cancel context.CancelFunc
		ctx, cancel = withTimeoutInstead(ctx, timeout+maxHubWait+relayedListTimeout+firstCopyTimeout)
		defer cancel()
	}
	r.Peers.waitForHubs(ctx, r.Clock.After(maxHubWait))
	return r.read(ctx, table, r.era.start(), 0, func(ctx context.Context, _ time.Duration) (Update, error) {
		r.askForFirstCopy(ctx, table)
		if hasDeadline {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, timeout)
			defer cancel()
		}
		rows, p, storeTime, err := r.Store.List(ctx, table)
		changes := make([]bergamotstore.Change, len(rows))
		for i, row := range rows {
			changes[i] = bergamotstore.NewChange(row, false)
		}
		return NewUpdate(changes, true, p, storeTime), err
	})
}

// withTimeoutInstead returns a context that ends like ctx, but after d instead of at the deadline of ctx.
func withTimeoutInstead(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	out, cancel := context.WithTimeout(context.WithoutCancel(ctx), d)
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
		}
	})
	return out, func() {
		stop()
		cancel()
	}
}

// Changes returns the changes of a table after a position as soon as there is one, or none when wait, or a shorter time, has
// passed. If they are not known, it returns the whole table of an entry that has it, or fails with
// bergamotstore.ErrHistoryDropped.
func (r *Reader) Changes(ctx context.Context, table string, after bergamotstore.Position, wait time.Duration) (Reading, error) {
	return r.read(ctx, table, after, wait, func(ctx context.Context, wait time.Duration) (Update, error) {
		changes, p, storeTime, err := r.Store.Changes(ctx, table, after, wait)
		if err == nil && p.SameEra(after) {
			p = bergamotstore.NewPosition(p.Era(), max(p.Number(), after.Number()))
		}
		return NewUpdate(changes, false, p, storeTime), err
	})
}

// read reads a table through another entry or, with call, from the store. The store is called first while it was
// unreachable and a call is due, so that an entry notices that it is reached again.
func (r *Reader) read(ctx context.Context, table string, after bergamotstore.Position, wait time.Duration,
	call func(ctx context.Context, wait time.Duration) (Update, error),
) (reading Reading, err error) {
	_, _, following := r.upstream()
	unreachable := r.unreachable.Load()
	if following && unreachable && r.isDirectCallDue() {
		short, cancel := context.WithTimeout(ctx, minDirectTimeout)
		reading, err = r.readStore(short, table, 0, call)
		cancel()
		if err == nil || errors.Is(err, bergamotstore.ErrHistoryDropped) {
			return reading, err
		}
	}
	reading, result := r.ask(ctx, table, after)
	switch {
	case result == outcomeCurrent:
		return reading, nil
	case result == outcomeDropped:
		return reading, bergamotstore.ErrHistoryDropped
	case following && unreachable:
		return reading, ErrStale
	case following:
		wait = 0 // the table may have changed while the other entry did not answer
	case r.downstreams.Serving() || r.Peers.isNewHub():
		// Without the second condition a new hub would wait for longer than its copy counts as current, and all entries that
		// begin to follow it meanwhile would call the store.
		wait = min(wait, r.hubWait(table))
	}
	return r.readStore(ctx, table, wait, call)
}

// hubWait returns how long a read of the store waits for changes of a table at an entry that others follow.
func (r *Reader) hubWait(table string) time.Duration {
	if wait, ok := r.Waits[table]; ok {
		return wait
	}
	return hubWait
}

// maxRelayedAge returns the age from which an answer about a table that was passed on does not count as current.
func (r *Reader) maxRelayedAge(table string) time.Duration {
	if _, ok := r.Waits[table]; ok {
		return r.hubWait(table) + maxRelayTime + relayLevels*MaxWait
	}
	return r.hubWait(table) + maxRelayTime
}

// isDirectCallDue reports whether an entry that follows another one should try the store again. Of the reads of several tables
// only one does so: when it succeeds, the others read the store too.
func (r *Reader) isDirectCallDue() bool {
	interval := unreachableInterval
	if r.Peers.IsHub() {
		interval = hubUnreachableInterval
	}
	last, now := r.lastDirect.Load(), r.Clock.Uptime()
	return now-time.Duration(last) >= interval && r.lastDirect.CompareAndSwap(last, int64(now))
}

// readStore calls the store and applies its answer to the copy of the table.
func (r *Reader) readStore(ctx context.Context, table string, wait time.Duration,
	call func(ctx context.Context, wait time.Duration) (Update, error),
) (reading Reading, err error) {
	start := r.Clock.Uptime()
	r.lastDirect.Store(int64(start))
	u, err := call(ctx, wait)
	r.unreachable.Store(err != nil && !errors.Is(err, bergamotstore.ErrHistoryDropped))
	mirror := r.Mirror(table)
	if errors.Is(err, bergamotstore.ErrHistoryDropped) && !u.position.SameEra(mirror.Position()) {
		r.Peers.Readmit()
	}
	u.position, _ = r.era.observe(u.position)
	if err != nil {
		return reading, err
	}
	u, ok := mirror.applyFrom("", u)
	switch {
	case !ok && u.whole: // another entry has passed on a table of a later era
		return reading, ErrStale
	case !ok: // changes that do not continue the copy
		return reading, bergamotstore.ErrHistoryDropped
	}
	r.setSource("", nil)
	return NewReading(u, r.offset.earliestAnswer(start, u.storeTime), false), nil
}

// ObserveStore records that a call to the store, which began at a time of the clock, was answered with the store's clock
// at storeTime.
func (r *Reader) ObserveStore(start, storeTime time.Duration) {
	r.offset.earliestAnswer(start, storeTime)
}
