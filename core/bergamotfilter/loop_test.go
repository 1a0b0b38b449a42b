package bergamotfilter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotroute"
)

// eventLoop runs scheduled events in virtual time.
type eventLoop struct {
	clock   *bergamotclock.Virtual
	random  *rand.Rand
	events  eventHeap
	created int // events and sequences created so far, which gives their order
}

type event struct {
	at     time.Time
	order  int
	action func()
}

// eventHeap is a heap of events by time, then by order of creation.
type eventHeap []event

func (c eventHeap) Len() int { return len(c) }
func (c eventHeap) Less(i, j int) bool {
	return c[i].at.Before(c[j].at) || c[i].at.Equal(c[j].at) && c[i].order < c[j].order
}
func (c eventHeap) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *eventHeap) Push(x any)   { *c = append(*c, x.(event)) }
func (c *eventHeap) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func newEventLoop(seed uint64) *eventLoop {
	return &eventLoop{clock: bergamotclock.NewVirtual(epoch), random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *eventLoop) schedule(d time.Duration, action func()) {
	l.created++
	heap.Push(&l.events, event{l.clock.Now().Add(d), l.created, action})
}

func (l *eventLoop) run(until time.Duration) {
	for end := epoch.Add(until); len(l.events) > 0 && !l.events[0].at.After(end); {
		e := heap.Pop(&l.events).(event)
		l.clock.Advance(e.at.Sub(l.clock.Now()))
		e.action()
	}
}

// machine is a simulated target with continuous batching: a batch takes all sequences that wait when it starts.
type machine struct {
	spec      bergamotfleet.Spec
	from, to  int
	layerTime time.Duration // actual time of one layer
	extraTime time.Duration // actual time that each further sequence of a batch adds
	queue     []*sequence
	busy      bool
	dead      bool
	assigned  map[*sequence]bool
}

// sequence is an answer that is being generated.
type sequence struct {
	id        int
	plan      bergamotroute.Plan
	path      []*machine
	stage     int
	remaining int
	tokens    int
	onToken   func()           // called for each token
	onFailure func(m *machine) // called once when a machine of the path dies
	ended     bool
}

const hopTime = 100 * time.Microsecond

// cluster is a set of simulated machines.
type cluster struct {
	*eventLoop
	machines map[string]*machine
	order    []*machine
	bundle   *bergamotbundle.Bundle
}

func newCluster(l *eventLoop, b *bergamotbundle.Bundle) *cluster {
	return &cluster{eventLoop: l, bundle: b, machines: map[string]*machine{}}
}

func (s *cluster) addMachine(kind string, from, to int, layerTime, extraTime time.Duration) {
	name := fmt.Sprintf("%s%d", kind, len(s.order))
	m := &machine{from: from, to: to, layerTime: layerTime, extraTime: extraTime, assigned: map[*sequence]bool{}}
	m.spec = bergamotfleet.Spec{
		Name: name, Address: name, DataCentre: "tartu", Kind: kind, Role: bergamotfleet.RoleRunner,
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("care", "1", from, to)},
	}
	s.machines[name] = m
	s.order = append(s.order, m)
}

// fleet returns the machines with their current load as reports.
func (s *cluster) fleet() *bergamotfleet.Fleet {
	var list []bergamotfleet.Instance
	for _, m := range s.order {
		spec := m.spec
		spec.Load = bergamotfleet.NewLoad(len(m.assigned), 0, s.clock.Now())
		spec.Failed = m.dead
		list = append(list, bergamotfleet.NewInstance(spec))
	}
	return bergamotfleet.NewFleet(list)
}

func (s *cluster) start(q *sequence) {
	s.created++
	q.id = s.created
	for _, st := range q.plan.Stages() {
		m := s.machines[st.Instance()]
		q.path = append(q.path, m)
		m.assigned[q] = true
	}
	for _, m := range q.path {
		if m.dead {
			s.schedule(hopTime, func() { s.fail(q, m) })
			return
		}
	}
	s.schedule(hopTime, func() { s.arrive(q) })
}

func (s *cluster) arrive(q *sequence) {
	m := q.path[q.stage]
	if q.ended || m.dead {
		return
	}
	m.queue = append(m.queue, q)
	if !m.busy {
		s.batch(m)
	}
}

func (s *cluster) batch(m *machine) {
	batch := m.queue
	m.queue = nil
	if m.busy = len(batch) > 0; !m.busy {
		return
	}
	layers := 0
	for _, q := range batch {
		st := q.plan.Stages()[q.stage]
		layers += st.To() - st.From()
	}
	n := len(batch)
	d := (m.layerTime + time.Duration(n-1)*m.extraTime) * time.Duration(layers) / time.Duration(n)
	s.schedule(d, func() {
		for _, q := range batch {
			s.finishStage(q)
		}
		s.batch(m)
	})
}

func (s *cluster) finishStage(q *sequence) {
	if q.ended {
		return
	}
	if q.stage++; q.stage == len(q.path) {
		q.stage = 0
		q.remaining--
		q.tokens++
		if q.remaining == 0 {
			s.end(q)
			q.onToken()
			return
		}
		q.onToken()
	}
	s.schedule(hopTime, func() { s.arrive(q) })
}

func (s *cluster) end(q *sequence) {
	q.ended = true
	for _, m := range q.path {
		delete(m.assigned, q)
	}
}

func (s *cluster) fail(q *sequence, m *machine) {
	if !q.ended {
		s.end(q)
		q.onFailure(m)
	}
}

// kill makes a machine fail; its sequences fail in the order in which they were started.
func (s *cluster) kill(m *machine) {
	m.dead = true
	m.queue = nil
	var affected []*sequence
	for q := range m.assigned {
		affected = append(affected, q)
	}
	slices.SortFunc(affected, func(a, b *sequence) int { return a.id - b.id })
	for _, q := range affected {
		s.fail(q, m)
	}
}
