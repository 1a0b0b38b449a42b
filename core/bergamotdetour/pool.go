package bergamotdetour

import (
	"context"
	"slices"
	"time"
)

const (
	// drawSize is the number of entries that are drawn for the pool in a data centre, or in the others.
	drawSize = 10
	// minUsable is the number of usable entries of the pool below which new ones are drawn at once.
	minUsable = 4
	// maxChecked is the number of known entries that are checked when too few were drawn.
	maxChecked = 6
	// minPause and maxPause are the times between two draws while there are too few usable entries.
	minPause = 100 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// refreshInterval is the time after which the pool is replaced while it is in use, which spreads the load over all entries.
	refreshInterval = 2 * time.Second
	// idleTime is the time without use after which the pool is given up. A single use costs one draw.
	idleTime = 1500 * time.Millisecond
)

// Directory leads to all entries, without a list of them.
type Directory interface {
	// Hubs returns the hubs that are known, which may include this entry. An entry that is no hub itself seldom reads them, so that some may
	// be missing, and the numbers of entries be old.
	Hubs() []Branch
	// List returns the listing of an entry. It may be called concurrently.
	List(ctx context.Context, h Helper) (Listing, error)
}

// Init prepares the helpers for use.
func (h *Helpers) Init() {
	h.marks = map[string]mark{}
	h.wake = make(chan struct{}, 1)
}

// Run keeps the pool filled while it is in use, until ctx ends; it returns the error of ctx.
func (h *Helpers) Run(ctx context.Context) error {
	for {
		var due <-chan time.Time
		if wait := h.Step(ctx); wait > 0 {
			due = h.Clock.After(wait)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.wake:
		case <-due:
		}
	}
}

// Prepare keeps the pool filled even if no helper is asked for, as long as wanted is set.
func (h *Helpers) Prepare(wanted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = wanted
	h.use()
}

// Step draws new entries if that is due, and returns how long it takes until it is again, 0 if the pool is not in use.
func (h *Helpers) Step(ctx context.Context) time.Duration {
	h.mu.Lock()
	now := h.Clock.Now()
	if !h.wanted && now.Sub(h.lastUse) >= idleTime {
		h.pool, h.leaving, h.hubs, h.tree, h.drawn, h.active, h.pause = nil, nil, nil, nil, false, false, 0
		clear(h.marks)
		h.mu.Unlock()
		return 0
	}
	due := !now.Before(h.nextDraw)
	h.mu.Unlock()
	if due {
		h.refill(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.nextDraw.Sub(h.Clock.Now()), time.Millisecond)
}

// refill replaces the pool by entries that were just drawn: those of the own data centre, and of the others if these are too few.
func (h *Helpers) refill(ctx context.Context) {
	if h.tree == nil {
		h.tree = tree{}
	}
	d := &drawing{
		directory: h.Directory, random: h.randomNumber, self: h.Name, now: h.Clock.Now(), tree: h.tree, seen: map[string]bool{}, answers: map[string]Answer{},
	}
	if len(h.hubs) == 0 || h.isLacking() {
		// The hubs that others know may be older than those that this entry has read.
		h.hubs = withUnknown(d.learnHubs(ctx, h.knownHubs()), h.Directory.Hubs())
	}
	var own, others []Branch
	for _, b := range h.hubs {
		if b.centre == h.Centre {
			own = append(own, b)
		} else {
			others = append(others, b)
		}
	}
	d.draw(ctx, own, drawSize)
	if len(d.found) < minUsable {
		d.draw(ctx, others, drawSize)
	}
	if len(d.found) < minUsable {
		d.check(ctx, h.known(d.hints))
	}
	if len(d.hubs) > 0 || d.listed == 0 {
		h.hubs = d.hubs
	}
	draw := Draw{asked: d.asked, listed: d.listed, found: len(d.found)}
	h.replace(d)
	if h.OnDraw != nil {
		h.OnDraw(draw)
	}
}

// isLacking reports whether the last draw found no entry that can help.
func (h *Helpers) isLacking() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lacking
}

// withUnknown returns a list with the branches of more that it lacks.
func withUnknown(list, more []Branch) []Branch {
	out := slices.Clone(list)
	for _, b := range more {
		if !slices.ContainsFunc(out, func(o Branch) bool { return o.name == b.name }) {
			out = append(out, b)
		}
	}
	return out
}

// knownHubs returns hubs to ask for the others: those of the own data centre, if there are any.
func (h *Helpers) knownHubs() []Branch {
	all := h.Directory.Hubs()
	if own := slices.DeleteFunc(slices.Clone(all), func(b Branch) bool { return b.centre != h.Centre }); len(own) > 0 {
		return own
	}
	return all
}

// randomNumber returns a number from 0 to n-1.
func (h *Helpers) randomNumber(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Random(n)
}

// known returns entries that have helped or are said to help.
func (h *Helpers) known(hints []Helper) (out []Helper) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range [][]Helper{h.pool, hints} {
		for _, i := range h.shuffle(len(list)) {
			if len(out) < maxChecked && !slices.Contains(out, list[i]) {
				out = append(out, list[i])
			}
		}
	}
	return out
}

// shuffle returns the numbers from 0 to n-1 in random order. The caller holds the lock.
func (h *Helpers) shuffle(n int) []int {
	out := make([]int, n)
	for i := range out {
		k := h.Random(i + 1)
		out[i], out[k] = out[k], i
	}
	return out
}

// replace makes the entries that were found the pool, and plans the next draw.
func (h *Helpers) replace(d *drawing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	for name, m := range h.marks {
		isBack := d.answers[name] == AnswerConnected && (m.answer == AnswerFull || m.answer == AnswerCut || m.answer == AnswerStale)
		if isBack || !now.Before(m.until) {
			delete(h.marks, name)
		}
	}
	for _, e := range d.found {
		if _, marked := h.marks[e.name]; d.answers[e.name] == AnswerFull && !marked {
			h.record(e.name, AnswerFull, now)
		}
	}
	before := h.pool
	if d.listed > 0 {
		h.pool, h.drawn = d.found, true
	}
	h.addLeaving(d.leaving)
	h.lacking = len(d.found) == 0
	if h.ended != nil {
		close(h.ended)
		h.ended = nil
	}
	isNew := slices.ContainsFunc(h.pool, func(e Helper) bool { return !slices.Contains(before, e) })
	h.lastDraw = now
	wait := refreshInterval
	if h.countUsable() < minUsable {
		if h.pause = min(2*h.pause, maxPause); isNew || h.pause == 0 {
			h.pause = minPause
		}
		wait = h.pause
	} else {
		h.pause = 0
	}
	h.nextDraw = now.Add(h.jitter(wait))
}

// Known returns usable entries of the pool, for other entries that look for some.
func (h *Helpers) Known() (out []Helper) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.Clock.Now()
	if now.Sub(h.lastDraw) > refreshInterval {
		return nil
	}
	for _, e := range h.pool {
		if len(out) < minUsable && !h.isHeld(e.name, now) {
			out = append(out, e)
		}
	}
	return out
}

// jitter returns a random time from 3/4 of d to d. The caller holds the lock.
func (h *Helpers) jitter(d time.Duration) time.Duration {
	return d - d/4*time.Duration(h.Random(1024))/1024
}

// use records that the pool is in use. The caller holds the lock.
func (h *Helpers) use() {
	h.lastUse = h.Clock.Now()
	if !h.active {
		h.active, h.nextDraw = true, h.lastUse
		h.signal()
	}
}

// signal wakes Run.
func (h *Helpers) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}
