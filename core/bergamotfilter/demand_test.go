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

// simulation simulates the requests of several workspaces at one entry and records their outcomes.
type simulation struct {
	*cluster
	queue        *bergamotfilter.Queue
	lengths      *bergamotadmission.Lengths
	router       *bergamotroute.Router
	selector     pathSelector // the router or a baseline
	view         *bergamotcontrol.View
	fifo         bool // baseline: the same slots, first come first served, no refusals
	slots        int
	running      int
	waiting      []*simRequest
	servedTokens map[string]float64 // tokens of answers that met their deadline, by workspace
	shortTimes   []float64          // seconds from arrival to the end of each short answer
	missed       int                // short requests that were refused or missed their deadline
	shortCount   int
	windowTokens []float64 // generated in each window
	late         int       // requests that ran and missed their deadline
}

// simRequest is one simulated request.
type simRequest struct {
	simulation   *simulation
	workspace    string
	tokens       int
	arrived      time.Time
	deadline     time.Time
	gate         *bergamotqueue.Gate
	job          *bergamotqueue.Job
	observedFrom time.Time
	generated    int
	avoid        map[string]bool
}

const window = 250 * time.Millisecond

func loadTestBundle(workspaces int) *bergamotbundle.Bundle {
	text := strings.Replace(loadBundle, "deadline = 20s", "deadline = 10s", 1)
	for n := range workspaces {
		text += fmt.Sprintf("[workspace w%d]\nkeys = %s\npipelines = *\n", n, bergamotbundle.HashKey(fmt.Sprint("w", n)))
	}
	return parseBundle(text)
}

// newSimulation returns a cluster of 12 machines of one kind behind one entry.
func newSimulation(seed uint64, fifo bool) *simulation {
	l := newEventLoop(seed)
	c := &simulation{cluster: newCluster(l, loadTestBundle(10)), fifo: fifo, servedTokens: map[string]float64{}, lengths: bergamotadmission.NewLengths()}
	for n := range 12 {
		from := n % 3 * 4
		c.addMachine("fast", from, from+4, 100*time.Microsecond, 20*time.Microsecond)
	}
	c.router = bergamotroute.NewRouter(l.clock, rand.New(rand.NewPCG(seed, 7)), "tartu")
	c.selector = c.router
	c.queue = &bergamotfilter.Queue{
		Clock: l.clock, PathEstimator: c.router, Lengths: c.lengths, Peers: bergamotadmission.NoPeers{}, MaxWaiting: 1024, AgingPeriod: 2 * time.Second,
	}
	var refresh func()
	refresh = func() {
		c.view = bergamotcontrol.NewView(l.clock.Now(), c.bundle, c.fleet())
		l.schedule(time.Second, refresh)
	}
	refresh()
	c.slots = int(c.queue.EntryCapacity(c.pathRequirement(nil)).Slots)
	return c
}

func (c *simulation) pathRequirement(avoid map[string]bool) bergamotroute.Query {
	p, _ := c.bundle.Pipeline("advice")
	return bergamotroute.Query{Pipeline: p, Fleet: c.view.Fleet(), Bundle: c.bundle, Avoid: avoid}
}

// maxTokenRate returns the highest possible rate in tokens per second with the slots of the entry.
func (c *simulation) maxTokenRate() float64 { return maxRateInFlight(c.cluster, float64(c.slots)) }

// generateArrivals sends requests of a workspace at a mean rate per second, with answer lengths from drawLength.
func (c *simulation) generateArrivals(workspace string, rate float64, drawLength func() int) {
	var next func()
	next = func() {
		c.submit(workspace, drawLength())
		c.schedule(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	c.schedule(time.Duration(c.random.ExpFloat64()/rate*float64(time.Second)), next)
}

// shortLength returns a random length from 10 to 30 tokens.
func (c *simulation) shortLength() int { return 10 + c.random.IntN(21) }

func (c *simulation) submit(workspace string, tokens int) {
	now := c.clock.Now()
	r := &simRequest{simulation: c, workspace: workspace, tokens: tokens, arrived: now, deadline: now.Add(2 * time.Second), avoid: map[string]bool{}}
	if tokens > 100 {
		r.deadline = now.Add(60 * time.Second)
	} else {
		c.shortCount++
	}
	if c.fifo {
		c.waiting = append(c.waiting, r)
		c.startGranted()
		return
	}
	request := bergamottest.Request(bergamotrequest.Spec{ID: "r", Model: "advice", MaxTokens: 1000, ArrivedAt: now})
	x := bergamotchain.NewExchange(request, c.view, nil)
	w, _ := c.bundle.Workspace(workspace)
	p, _ := c.bundle.Pipeline("advice")
	x.SetWorkspace(w)
	x.SetPipeline(p)
	x.SetDeadline(r.deadline)
	r.gate, r.job = c.queue.Prepare(x)
	if r.gate.Submit(r.job) != nil {
		r.countMissed()
		return
	}
	c.waiting = append(c.waiting, r)
	c.startGranted()
}

// startGranted starts the waiting requests that were granted a slot.
func (c *simulation) startGranted() {
	if c.fifo {
		for c.running < c.slots && len(c.waiting) > 0 {
			r := c.waiting[0]
			c.waiting = c.waiting[1:]
			c.running++
			r.run()
		}
		return
	}
	if len(c.waiting) == 0 || c.waiting[0].gate.Waiting() == len(c.waiting) {
		return
	}
	var ready []*simRequest
	c.waiting = slices.DeleteFunc(c.waiting, func(r *simRequest) bool {
		select {
		case err := <-r.gate.Granted(r.job):
			if err != nil {
				r.countMissed()
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

func (r *simRequest) countMissed() {
	if r.tokens <= 100 {
		r.simulation.missed++
	}
}

// run sends the request, or the rest of it after a failure, along a path.
func (r *simRequest) run() {
	c := r.simulation
	plan, ok := c.selector.Route(c.pathRequirement(r.avoid))
	if !ok {
		panic(errors.New("no path"))
	}
	q := &sequence{plan: plan, remaining: r.tokens - r.generated}
	r.observedFrom = c.clock.Now()
	count := 0
	q.onToken = func() {
		r.generated++
		c.countToken()
		if count++; count%8 == 0 {
			c.selector.Observe(plan, c.clock.Now().Sub(r.observedFrom)/8)
			r.observedFrom = c.clock.Now()
		}
		if !c.fifo && r.generated == int(4*r.job.Cost())+1 {
			r.gate.MarkLong(r.job)
			c.startGranted()
		}
		if q.ended {
			c.selector.Release(plan)
			r.finish()
		}
	}
	q.onFailure = func(m *machine) {
		c.selector.Release(plan)
		r.avoid[m.spec.Name] = true
		r.run()
	}
	c.start(q)
}

func (r *simRequest) finish() {
	c := r.simulation
	if c.fifo {
		c.running--
	} else {
		c.lengths.Observe("advice", r.workspace, r.tokens)
		c.lengths.Observe("model care", "", r.tokens)
		r.gate.Leave(r.job, float64(r.tokens))
	}
	now := c.clock.Now()
	if r.tokens <= 100 {
		c.shortTimes = append(c.shortTimes, now.Sub(r.arrived).Seconds())
	}
	if now.After(r.deadline) {
		r.countMissed()
		c.late++
	} else {
		c.servedTokens[r.workspace] += float64(r.tokens)
	}
	c.startGranted()
}

// countToken adds a token to the current window.
func (c *simulation) countToken() {
	n := int(c.clock.Now().Sub(epoch) / window)
	for len(c.windowTokens) <= n {
		c.windowTokens = append(c.windowTokens, 0)
	}
	c.windowTokens[n]++
}

// quantile returns the quantile p, from 0 to 1, of the times of short answers in seconds.
func (c *simulation) quantile(p float64) float64 {
	if len(c.shortTimes) == 0 {
		return 0
	}
	slices.Sort(c.shortTimes)
	return c.shortTimes[int(p*float64(len(c.shortTimes)-1))]
}

// tokenRate returns the mean tokens per second from one window up to another.
func (c *simulation) tokenRate(from, to int) (sum float64) {
	for _, n := range c.windowTokens[from:to] {
		sum += n / (float64(to-from) * window.Seconds())
	}
	return sum
}
