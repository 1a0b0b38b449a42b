package bergamotdetour_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotdetour"
)

const (
	tick           = 10 * time.Millisecond
	rate           = 63.0 // connections that an entry opens in a second
	connectionTime = 200 * time.Millisecond
	maxLent        = 480 // connections that an entry lends at once
	maxAsked       = 6   // entries that are asked for one connection
	maxFollowers   = 16  // entries that follow one entry
)

var errGone = errors.New("it does not answer")

// fleetEntry is an entry of a fleet.
type fleetEntry struct {
	helper    bergamotdetour.Helper
	helpers   *bergamotdetour.Helpers
	followers []*fleetEntry
	isHub     bool
	isCut     bool
	isGone    bool
	knowsAt   time.Time // when it finds out about the cut
	due       float64   // connections that it has to open
	open      int       // connections that it lends
	fullAt    time.Time // when it last lent as many as it may
	lent      int       // connections since the begin of the counts
	queries   int       // queries for its listing in the current second
	peak      int       // the largest number of them in a second
}

// fleet is a number of entries in data centres, each with two hubs that the others follow in trees. Its clock is virtual.
type fleet struct {
	clock   *bergamotclock.Virtual
	random  *rand.Rand
	entries []*fleetEntry
	byName  map[string]*fleetEntry
	closing []lentConnection // in the order of their ends

	mu sync.Mutex // guards queries
}

type lentConnection struct {
	end    time.Time
	helper *fleetEntry
}

// newFleet returns entries that are spread over data centres.
func newFleet(entries, centres int) *fleet {
	f := &fleet{
		clock: bergamotclock.NewVirtual(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(11, 42)), byName: map[string]*fleetEntry{},
	}
	hubs := map[string][]*fleetEntry{}
	for n := range entries {
		centre := fmt.Sprint("c", n%centres)
		name := fmt.Sprint("e", n)
		e := &fleetEntry{helper: bergamotdetour.NewHelper(name, name, centre)}
		e.helpers = &bergamotdetour.Helpers{Clock: f.clock, Name: name, Centre: centre, Directory: directory{f, e}, Random: f.random.IntN}
		e.helpers.Init()
		f.entries, f.byName[name] = append(f.entries, e), e
		if len(hubs[centre]) < 2 {
			e.isHub, hubs[centre] = true, append(hubs[centre], e)
			continue
		}
		up := hubs[centre][f.random.IntN(2)]
		for len(up.followers) == maxFollowers {
			up = up.followers[f.random.IntN(maxFollowers)]
		}
		up.followers = append(up.followers, e)
	}
	return f
}

// size returns how many entries read through one, including itself.
func (e *fleetEntry) size() int {
	n := 1
	for _, b := range e.followers {
		n += b.size()
	}
	return n
}

func (e *fleetEntry) branch() bergamotdetour.Branch {
	return bergamotdetour.NewBranch(e.helper, e.size())
}

// knows reports whether an entry knows that it is cut.
func (e *fleetEntry) knows(now time.Time) bool { return e.isCut && !now.Before(e.knowsAt) }

// state returns what an entry says about itself.
func (e *fleetEntry) state(now time.Time) bergamotdetour.Answer {
	switch {
	case e.knows(now):
		return bergamotdetour.AnswerCut
	case e.open >= maxLent:
		return bergamotdetour.AnswerFull
	default:
		return bergamotdetour.AnswerConnected
	}
}

// directory is what one entry knows of a fleet: an entry that is no hub knows only the hubs of its data centre.
type directory struct {
	*fleet
	self *fleetEntry
}

func (d directory) Hubs() (out []bergamotdetour.Branch) {
	for _, e := range d.entries {
		switch isNear := e.helper.Centre() == d.self.helper.Centre(); {
		case !e.isHub:
		case d.self.isHub:
			out = append(out, e.branch())
		case isNear:
			out = append(out, bergamotdetour.NewBranch(e.helper, 1))
		}
	}
	return out
}

func (d directory) List(_ context.Context, h bergamotdetour.Helper) (l bergamotdetour.Listing, err error) {
	e := d.byName[h.Name()]
	d.mu.Lock()
	defer d.mu.Unlock()
	e.queries++
	if e.isGone {
		return l, errGone
	}
	var followers, hubs []bergamotdetour.Branch
	for _, b := range e.followers {
		followers = append(followers, b.branch())
	}
	if e.isHub {
		hubs = directory{d.fleet, e}.Hubs()
	}
	return bergamotdetour.NewListing(e.state(d.clock.Now()), followers, hubs, e.helpers.Known()), nil
}

// cut cuts entries off from the runners. They find out within half a second.
func (f *fleet) cut(isCut func(n int, e *fleetEntry) bool) {
	for n, e := range f.entries {
		if e.isCut = isCut(n, e); e.isCut {
			e.knowsAt = f.clock.Now().Add(time.Duration(f.random.IntN(500)) * time.Millisecond)
		}
	}
}

// heal ends the cut of an entry.
func (e *fleetEntry) heal() {
	e.isCut = false
	e.helpers.Prepare(false)
}

// ask asks an entry for a connection.
func (f *fleet) ask(e *fleetEntry) bergamotdetour.Answer {
	now := f.clock.Now()
	a := e.state(now)
	switch {
	case e.isGone:
		return bergamotdetour.AnswerSilent
	case a == bergamotdetour.AnswerConnected && e.isCut:
		return bergamotdetour.AnswerUnreached
	case a == bergamotdetour.AnswerFull:
		e.fullAt = now
	case a == bergamotdetour.AnswerConnected:
		e.open++
		e.lent++
		f.closing = append(f.closing, lentConnection{now.Add(connectionTime), e})
	}
	return a
}

// counts are the connections of the entries that are cut.
type counts struct {
	opened  int
	refused int // without asking
	failed  int
	asks    int
	missed  int     // failed or refused although an entry could help that was not full for a second
	unfair  float64 // connections of the busiest entry that can help, in multiples of the mean
	able    int     // entries that can help
	queries int     // to one hub in a second, at most
}

// run lets the entries that are cut open connections for a time, and counts them.
func (f *fleet) run(d time.Duration) (c counts) {
	for _, e := range f.entries {
		e.lent, e.queries, e.peak = 0, 0, 0
	}
	for n := range int(d / tick) {
		f.clock.Advance(tick)
		now := f.clock.Now()
		for len(f.closing) > 0 && !now.Before(f.closing[0].end) {
			f.closing[0].helper.open--
			f.closing = f.closing[1:]
		}
		for _, e := range f.entries {
			if !e.isCut || e.isGone {
				continue
			}
			if e.knows(now) && !e.knows(now.Add(-tick)) {
				e.helpers.Prepare(true)
			}
			e.helpers.Step(context.Background())
			for e.due += f.random.Float64() * 2 * rate * tick.Seconds(); e.due >= 1; e.due-- {
				f.open(e, &c)
			}
		}
		if (n+1)%int(time.Second/tick) == 0 {
			for _, e := range f.entries {
				e.queries, e.peak = 0, max(e.peak, e.queries)
			}
		}
	}
	c.able = f.able()
	sum, most := 0, 0
	for _, e := range f.entries {
		if e.isHub {
			c.queries = max(c.queries, e.peak)
		}
		if !e.isCut && !e.isGone {
			sum, most = sum+e.lent, max(most, e.lent)
		}
	}
	if sum > 0 {
		c.unfair = float64(most) * float64(c.able) / float64(sum)
	}
	return c
}

// able returns how many entries can help.
func (f *fleet) able() (n int) {
	for _, e := range f.entries {
		if !e.isCut && !e.isGone {
			n++
		}
	}
	return n
}

// open lets an entry open a connection over a helper.
func (f *fleet) open(e *fleetEntry, c *counts) {
	var asked []string
	for len(asked) < maxAsked && e.helpers.Available() {
		h, ok := e.helpers.Next(asked, 0)
		if !ok {
			break
		}
		asked = append(asked, h.Name())
		a := f.ask(f.byName[h.Name()])
		e.helpers.Record(h, a, 0)
		if a == bergamotdetour.AnswerConnected {
			c.opened++
			c.asks += len(asked)
			return
		}
	}
	c.asks += len(asked)
	c.failed++
	if len(asked) == 0 {
		c.refused++
	}
	if f.couldHelp() {
		c.missed++
	}
}

// couldHelp reports whether an entry could help that was not full for a second.
func (f *fleet) couldHelp() bool {
	now := f.clock.Now()
	for _, e := range f.entries {
		if !e.isCut && !e.isGone && e.open < maxLent && now.Sub(e.fullAt) > time.Second {
			return true
		}
	}
	return false
}

// maxQueries returns how many queries a hub may get in a second: one for each entry that is cut, and one for each of its draws in small
// fleets, where each draw reaches all entries. There are up to three draws in a second.
func (f *fleet) maxQueries() int {
	n := 0
	for _, e := range f.entries {
		if e.isCut {
			n++
		}
	}
	if len(f.entries) < 100 {
		return 3 * n
	}
	return n
}
