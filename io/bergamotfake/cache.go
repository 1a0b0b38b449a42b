package bergamotfake

import (
	"net/http"
	"strconv"
	"sync"

	"bergamotspur/core/bergamotprefix"
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotwire"
)

const (
	maxCacheBlocks = 1024 // capacity in blocks
	maxCacheEvents = 4096 // events kept for readers; a reader that asks for older ones sees a gap
)

// cache is the prefix cache of an engine together with its recent events.
type cache struct {
	mu           sync.Mutex
	held         map[uint64]bool
	byAge        []uint64 // cached blocks, oldest first
	lastSequence int64    // sequence number of the newest event
	events       []bergamotengine.EventMessage
}

// add caches the prefix blocks of a prompt and evicts the oldest blocks beyond maxCacheBlocks.
func (c *cache) add(model, prompt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held == nil {
		c.held = map[uint64]bool{}
	}
	for _, b := range bergamotprefix.Blocks(nil, model, prompt) {
		if c.held[b] {
			continue
		}
		c.held[b] = true
		c.byAge = append(c.byAge, b)
		c.emit(true, b)
		if len(c.byAge) > maxCacheBlocks {
			delete(c.held, c.byAge[0])
			c.emit(false, c.byAge[0])
			c.byAge = c.byAge[1:]
		}
	}
}

func (c *cache) emit(added bool, block uint64) {
	c.lastSequence++
	c.events = append(c.events, bergamotengine.EventMessage{Sequence: c.lastSequence, Added: added, Block: block})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// serve replies with the events from the sequence number in the query parameter "from" on.
func (c *cache) serve(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := bergamotengine.EventsMessage{LastSequence: c.lastSequence, Events: []bergamotengine.EventMessage{}}
	for _, e := range c.events {
		if e.Sequence >= from {
			m.Events = append(m.Events, e)
		}
	}
	bergamotwire.Write(w, http.StatusOK, m)
}
