//go:build !race

package bergamotcluster_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
)

// simStore is the platform's store in virtual time; it counts the calls by kind.
type simStore struct {
	clock simClock

	mu       sync.Mutex
	era      int64
	version  int64
	history  []simChange
	replaced map[int64]time.Duration // when each version of the configuration was replaced
	config   int64
	hubRows  map[string]simHub
	lease    bergamotstore.Row
	changed  chan struct{}
	calls    map[string]int // by kind
}

// simChange is a change of a row of a table.
type simChange struct {
	table  string
	change bergamotstore.Change
}

// simHub is the row of a hub.
type simHub struct {
	hub      bergamotmirror.Hub
	revision int64
	written  time.Duration
}

func newSimStore(clock simClock) *simStore {
	return &simStore{
		clock: clock, era: 1, replaced: map[int64]time.Duration{}, hubRows: map[string]simHub{}, lease: bergamotstore.NewRow("placement", 0, nil),
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// put writes a row of a table.
func (s *simStore) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = append(s.history, simChange{table, bergamotstore.NewChange(bergamotstore.NewRow(key, s.version, []byte(value)), false)})
	if key == "config" && int64(value[0]) != s.config {
		s.replaced[s.config] = s.clock.Uptime()
		s.config = int64(value[0])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore replaces the tables by a copy that lacks the latest writes. The rows of the hubs and of the lease stay.
func (s *simStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = s.history[:len(s.history)-lost]
	s.era, s.version = s.era+1, s.version-int64(lost)
}

// position returns the latest position. The caller holds the lock.
func (s *simStore) position() bergamotstore.Position {
	return bergamotstore.NewPosition(s.era, s.version)
}

// replacedAt returns when a version of the configuration was replaced; ok is false if it is the latest.
func (s *simStore) replacedAt(version int64) (at time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok = s.replaced[version]
	return at, ok
}

// takeCalls returns the calls by kind since the last call of takeCalls.
func (s *simStore) takeCalls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := maps.Clone(s.calls)
	clear(s.calls)
	return calls
}

// simClient is the store as one entry sees it.
type simClient struct {
	*simStore
	entry   *simEntry
	observe func(start, storeTime time.Duration)
}

// begin counts a call and takes the time to the store.
func (c *simClient) begin(ctx context.Context, kind string) (time.Duration, error) {
	c.mu.Lock()
	c.calls[kind]++
	c.mu.Unlock()
	start := c.clock.Uptime()
	return start, c.entry.waitLink(ctx, false)
}

// end takes the time of the answer, which was current at storeTime.
func (c *simClient) end(ctx context.Context, start, storeTime time.Duration) error {
	err := c.entry.waitLink(ctx, false)
	if err == nil {
		c.observe(start, storeTime)
	}
	return err
}

// changesOf returns the changes of a table after a version. The caller holds the lock.
func (c *simClient) changesOf(table string, after int64) (out []bergamotstore.Change) {
	for n := len(c.history) - 1; n >= 0 && c.history[n].change.Row().Revision() > after; n-- {
		if c.history[n].table == table {
			out = append([]bergamotstore.Change{c.history[n].change}, out...)
		}
	}
	return out
}

func (c *simClient) List(ctx context.Context, table string) (rows []bergamotstore.Row, p bergamotstore.Position, storeTime time.Duration, err error) {
	start, err := c.begin(ctx, "list "+table)
	if err != nil {
		return nil, p, 0, err
	}
	c.mu.Lock()
	latest := map[string]bergamotstore.Row{}
	for _, change := range c.changesOf(table, 0) {
		latest[change.Row().Key()] = change.Row()
	}
	for _, r := range latest {
		rows = append(rows, r)
	}
	p, storeTime = c.position(), c.clock.Uptime()+simStoreAhead
	c.mu.Unlock()
	return rows, p, storeTime, c.end(ctx, start, storeTime)
}

func (c *simClient) Changes(ctx context.Context, table string, after bergamotstore.Position, wait time.Duration) (
	changes []bergamotstore.Change, p bergamotstore.Position, storeTime time.Duration, err error,
) {
	start, err := c.begin(ctx, "feed "+table)
	if err != nil {
		return nil, p, 0, err
	}
	timeout, timedOut := time.After(wait), false
	for {
		c.mu.Lock()
		changes, p, storeTime = c.changesOf(table, after.Number()), c.position(), c.clock.Uptime()+simStoreAhead
		changed := c.changed
		c.mu.Unlock()
		if p.Era() != after.Era() || p.IsBefore(after) {
			return nil, p, 0, errors.Join(bergamotstore.ErrHistoryDropped, c.end(ctx, start, storeTime))
		}
		if len(changes) > 0 || timedOut {
			if err = c.end(ctx, start, storeTime); err == nil {
				c.entry.recordAnswer()
			}
			return changes, p, storeTime, err
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-ctx.Done():
			return nil, p, 0, ctx.Err()
		}
	}
}

// TableTime returns the time of the store's clock.
func (c *simClient) TableTime() (earliest, latest time.Duration, ok bool) {
	now := c.clock.Uptime() + simStoreAhead
	return now - simCallTime, now + simCallTime, true
}

func (c *simClient) Hubs(ctx context.Context) (slots []bergamotcluster.HubSlot, err error) {
	start, err := c.begin(ctx, "read hubs")
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	now := c.clock.Uptime()
	for _, row := range c.hubRows {
		slots = append(slots, bergamotcluster.NewHubSlot(row.hub, row.revision, now-row.written))
	}
	c.mu.Unlock()
	return slots, c.end(ctx, start, now+simStoreAhead)
}

func (c *simClient) PutHub(ctx context.Context, h bergamotmirror.Hub, revision int64) (slot bergamotcluster.HubSlot, ok bool, err error) {
	start, err := c.begin(ctx, "write hubs")
	if err != nil {
		return slot, false, err
	}
	c.mu.Lock()
	key, now := fmt.Sprint(h.Centre(), "/", h.Slot()), c.clock.Uptime()
	row := c.hubRows[key]
	if ok = row.revision == revision; ok {
		row = simHub{h, revision + 1, now}
		c.hubRows[key] = row
	}
	c.mu.Unlock()
	return bergamotcluster.NewHubSlot(row.hub, row.revision, now-row.written), ok, c.end(ctx, start, now+simStoreAhead)
}

func (c *simClient) Read(ctx context.Context, _ string) (row bergamotstore.Row, err error) {
	start, err := c.begin(ctx, "read lease")
	if err != nil {
		return row, err
	}
	c.mu.Lock()
	row = c.lease
	c.mu.Unlock()
	return row, c.end(ctx, start, c.clock.Uptime()+simStoreAhead)
}

func (c *simClient) CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (row bergamotstore.Row, ok bool, err error) {
	start, err := c.begin(ctx, "write lease")
	if err != nil {
		return row, false, err
	}
	c.mu.Lock()
	if ok = c.lease.Revision() == revision; ok {
		c.lease = bergamotstore.NewRow(key, revision+1, value)
	}
	row = c.lease
	c.mu.Unlock()
	return row, ok, c.end(ctx, start, c.clock.Uptime()+simStoreAhead)
}

// takeSlot writes the row of a slot as if another entry had taken it.
func (s *simStore) takeSlot(key, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.hubRows[key]
	h := row.hub
	s.hubRows[key] = simHub{bergamotmirror.NewHub(bergamotmirror.NewPeer(name, name), h.Centre(), h.Slot(), h.Entries()), row.revision + 1, s.clock.Uptime()}
}
