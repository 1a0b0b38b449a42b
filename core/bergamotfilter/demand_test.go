package bergamotfilter_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bergamotspur/core/bergamotadmission"
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotqueue"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamottest"
)

// crowd is the requests of some workspaces at one entry and what became of them.
type crowd struct {
	*site
	queue   *bergamotfilter.Queue
	lengths *bergamotadmission.Lengths
	router  *bergamotroute.Router
	paths   chooser // the router, or a plain baseline
	view    *bergamotcontrol.View
	fifo    bool // plain baseline: the same slots, first come first served, nothing rejected
	slots   int
	running int
	line    []*caller
	served  map[string]float64 // tokens of answers in time, by workspace
	short   []float64          // seconds of short answers
	missed  int                // short requests without an answer in time
	shorts  int
	tokens  []float64 // generated in each window
	late    int       // requests that were run and missed their deadline
}

// caller is one request.
type caller struct {
	crowd     *crowd
	workspace string
	tokens    int
	arrived   time.Time
	deadline  time.Time
	gate      *bergamotqueue.Gate
	job       *bergamotqueue.Job
	begun     time.Time
	got       int
	avoid     map[string]bool
}

const window = 250 * time.Millisecond

func crowdBundle(workspaces int) *bergamotbundle.Bundle {
	text := strings.Replace(loadBundle, "deadline = 20s", "deadline = 10s", 1)
	for n := range workspaces {
		text += fmt.Sprintf("[workspace w%d]\nkeys = %s\npipelines = *\n", n, bergamotbundle.HashKey(fmt.Sprint("w", n)))
	}
	return parseLoad(text)
}

// newCrowd returns a site of 12 machines of one kind behind one entry.
func newCrowd(seed uint64, fifo bool) *crowd {
	l := newLoop(seed)
	c := &crowd{site: newSite(l, crowdBundle(10)), fifo: fifo, served: map[string]float64{}, lengths: bergamotadmission.NewLengths()}
	for n := range 12 {
		from := n % 3 * 4
		c.add("fast", from, from+4, 100*time.Microsecond, 20*time.Microsecond)
	}
	c.router = bergamotroute.NewRouter(l.clock, rand.New(rand.NewPCG(seed, 7)), "tartu")
	c.paths = c.router
	c.queue = &bergamotfilter.Queue{
		Clock: l.clock, Capacity: c.router, Lengths: c.lengths, Peers: bergamotadmission.Alone{}, Most: 1024, Age: 2 * time.Second,
	}
	var renew func()
	renew = func() {
		c.view = bergamotcontrol.NewView(l.clock.Now(), c.bundle, c.fleet())
		l.after(time.Second, renew)
	}
	renew()
	c.slots = int(c.queue.Pace(c.want(nil)).Slots)
	return c
}

func (c *crowd) want(avoid map[string]bool) bergamotroute.Query {
	p, _ := c.bundle.Pipeline("advice")
	return bergamotroute.Query{Pipeline: p, Fleet: c.view.Fleet(), Bundle: c.bundle, Avoid: avoid}
}

// bound returns the best tokens a second at the slots of the entry.
func (c *crowd) bound() float64 { return flightBound(c.site, float64(c.slots)) }

// arrivals sends requests of a workspace at a rate, with lengths from draw.
func (c *crowd) arrivals(workspace string, rate float64, draw func() int) {
	var next func()
	next = func() {
		c.submit(workspace, draw())
		c.after(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.after(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), next)
}

// shortLength draws lengths from 10 to 30 tokens.
func (c *crowd) shortLength() int { return 10 + c.random.IntN(21) }

func (c *crowd) submit(workspace string, tokens int) {
	now := c.clock.Now()
	r := &caller{crowd: c, workspace: workspace, tokens: tokens, arrived: now, deadline: now.Add(2 * time.Second), avoid: map[string]bool{}}
	if tokens > 100 {
		r.deadline = now.Add(60 * time.Second)
	} else {
		c.shorts++
	}
	if c.fifo {
		c.line = append(c.line, r)
		c.pump()
		return
	}
	request := bergamottest.Request(bergamotrequest.Spec{ID: "r", Model: "advice", MaxTokens: 1000, Arrival: now})
	x := bergamotchain.NewExchange(request, c.view, nil)
	w, _ := c.bundle.Workspace(workspace)
	p, _ := c.bundle.Pipeline("advice")
	x.SetWorkspace(w)
	x.SetPipeline(p)
	x.SetDeadline(r.deadline)
	r.gate, r.job = c.queue.Prepare(x)
	if r.gate.Ask(r.job) != nil {
		r.lost()
		return
	}
	c.line = append(c.line, r)
	c.pump()
}

// pump starts the requests that have got a slot.
func (c *crowd) pump() {
	if c.fifo {
		for c.running < c.slots && len(c.line) > 0 {
			r := c.line[0]
			c.line = c.line[1:]
			c.running++
			r.run()
		}
		return
	}
	if len(c.line) == 0 || c.line[0].gate.Waiting() == len(c.line) {
		return
	}
	var ready []*caller
	c.line = slices.DeleteFunc(c.line, func(r *caller) bool {
		select {
		case err := <-r.gate.Granted(r.job):
			if err != nil {
				r.lost()
			} else {
				ready = append(ready, r)
			}
			return true
		default:
			return false
		}
	})
	for _, r := range ready {
		r.run()
	}
}

func (r *caller) lost() {
	if r.tokens <= 100 {
		r.crowd.missed++
	}
}

// run sends the request, or what is left of it after a loss, along a path.
func (r *caller) run() {
	c := r.crowd
	plan, ok := c.paths.Route(c.want(r.avoid))
	if !ok {
		panic(errors.New("no path"))
	}
	q := &sequence{plan: plan, left: r.tokens - r.got}
	r.begun = c.clock.Now()
	count := 0
	q.token = func() {
		r.got++
		c.note()
		if count++; count%8 == 0 {
			c.paths.Observe(plan, c.clock.Now().Sub(r.begun)/8)
			r.begun = c.clock.Now()
		}
		if !c.fifo && r.got == int(4*r.job.Cost())+1 {
			r.gate.Overrun(r.job)
			c.pump()
		}
		if q.ended {
			c.paths.Finish(plan)
			r.finish()
		}
	}
	q.failed = func(m *machine) {
		c.paths.Finish(plan)
		r.avoid[m.spec.Name] = true
		r.run()
	}
	c.start(q)
}

func (r *caller) finish() {
	c := r.crowd
	if c.fifo {
		c.running--
	} else {
		c.lengths.Observe("advice", r.workspace, r.tokens)
		c.lengths.Observe("model care", "", r.tokens)
		r.gate.Leave(r.job, float64(r.tokens))
	}
	now := c.clock.Now()
	if r.tokens <= 100 {
		c.short = append(c.short, now.Sub(r.arrived).Seconds())
	}
	if now.After(r.deadline) {
		r.lost()
		c.late++
	} else {
		c.served[r.workspace] += float64(r.tokens)
	}
	c.pump()
}

// note counts a token in its window.
func (c *crowd) note() {
	n := int(c.clock.Now().Sub(epoch) / window)
	for len(c.tokens) <= n {
		c.tokens = append(c.tokens, 0)
	}
	c.tokens[n]++
}

// quantile returns the time of short answers at a share from 0 to 1, in seconds.
func (c *crowd) quantile(p float64) float64 {
	if len(c.short) == 0 {
		return 0
	}
	slices.Sort(c.short)
	return c.short[int(p*float64(len(c.short)-1))]
}

// rate returns the tokens a second from one window to another.
func (c *crowd) rate(from, to int) (sum float64) {
	for _, n := range c.tokens[from:to] {
		sum += n / (float64(to-from) * window.Seconds())
	}
	return sum
}
