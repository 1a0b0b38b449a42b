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
	cacheBlocks = 1024 // blocks that fit
	cacheEvents = 4096 // events that are kept for readers; older ones leave a gap
)

// cache is the prefix cache of an engine with the events that it emits.
type cache struct {
	mu     sync.Mutex
	held   map[uint64]bool
	order  []uint64
	last   int64
	events []bergamotengine.EventMessage
}

// add puts the beginning of a prompt into the cache and evicts the oldest blocks.
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
		c.order = append(c.order, b)
		c.emit(true, b)
		if len(c.order) > cacheBlocks {
			delete(c.held, c.order[0])
			c.emit(false, c.order[0])
			c.order = c.order[1:]
		}
	}
}

func (c *cache) emit(added bool, block uint64) {
	c.last++
	c.events = append(c.events, bergamotengine.EventMessage{Sequence: c.last, Added: added, Block: block})
	if len(c.events) > cacheEvents {
		c.events = c.events[1:]
	}
}

// serve writes the events from the number in the query on.
func (c *cache) serve(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	m := bergamotengine.EventsMessage{LastSequence: c.last, Events: []bergamotengine.EventMessage{}}
	for _, e := range c.events {
		if e.Sequence >= from {
			m.Events = append(m.Events, e)
		}
	}
	bergamotwire.Write(w, http.StatusOK, m)
}
