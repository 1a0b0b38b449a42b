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

// loop is a queue of events in virtual time.
type loop struct {
	clock  *bergamotclock.Virtual
	random *rand.Rand
	events calendar
	count  int
}

type event struct {
	at    time.Time
	order int
	do    func()
}

// calendar is a heap of events by time and order of creation.
type calendar []event

func (c calendar) Len() int { return len(c) }
func (c calendar) Less(i, j int) bool {
	return c[i].at.Before(c[j].at) || c[i].at.Equal(c[j].at) && c[i].order < c[j].order
}
func (c calendar) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *calendar) Push(x any)   { *c = append(*c, x.(event)) }
func (c *calendar) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

func newLoop(seed uint64) *loop {
	return &loop{clock: bergamotclock.NewVirtual(epoch), random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *loop) after(d time.Duration, do func()) {
	l.count++
	heap.Push(&l.events, event{l.clock.Now().Add(d), l.count, do})
}

func (l *loop) run(until time.Duration) {
	for end := epoch.Add(until); len(l.events) > 0 && !l.events[0].at.After(end); {
		e := heap.Pop(&l.events).(event)
		l.clock.Advance(e.at.Sub(l.clock.Now()))
		e.do()
	}
}

// machine is a target that batches continuously: a batch takes all sequences that wait when it begins.
type machine struct {
	spec     bergamotfleet.Spec
	from, to int
	step     time.Duration // true time of one layer
	slot     time.Duration // true time that each further sequence adds
	queue    []*sequence
	busy     bool
	dead     bool
	assigned map[*sequence]bool
}

// sequence is one answer that is generated.
type sequence struct {
	id     int
	plan   bergamotroute.Plan
	path   []*machine
	stage  int
	left   int
	tokens int
	token  func()           // called for each token
	failed func(m *machine) // called once when a machine of the path dies
	ended  bool
}

const hopTime = 100 * time.Microsecond

// site is the machines of a test.
type site struct {
	*loop
	machines map[string]*machine
	order    []*machine
	bundle   *bergamotbundle.Bundle
}

func newSite(l *loop, b *bergamotbundle.Bundle) *site {
	return &site{loop: l, bundle: b, machines: map[string]*machine{}}
}

func (s *site) add(kind string, from, to int, step, slot time.Duration) {
	name := fmt.Sprintf("%s%d", kind, len(s.order))
	m := &machine{from: from, to: to, step: step, slot: slot, assigned: map[*sequence]bool{}}
	m.spec = bergamotfleet.Spec{
		Name: name, Address: name, DataCentre: "tartu", Kind: kind, Role: bergamotfleet.RoleRunner,
		Holdings: []bergamotfleet.Holding{bergamotfleet.NewHolding("care", "1", from, to)},
	}
	s.machines[name] = m
	s.order = append(s.order, m)
}

// fleet returns the machines with reports of this moment.
func (s *site) fleet() *bergamotfleet.Fleet {
	var list []bergamotfleet.Instance
	for _, m := range s.order {
		spec := m.spec
		spec.Load = bergamotfleet.NewLoad(len(m.assigned), 0, s.clock.Now())
		spec.Failed = m.dead
		list = append(list, bergamotfleet.NewInstance(spec))
	}
	return bergamotfleet.NewFleet(list)
}

func (s *site) start(q *sequence) {
	s.count++
	q.id = s.count
	for _, st := range q.plan.Stages() {
		m := s.machines[st.Instance()]
		q.path = append(q.path, m)
		m.assigned[q] = true
	}
	for _, m := range q.path {
		if m.dead {
			s.after(hopTime, func() { s.fail(q, m) })
			return
		}
	}
	s.after(hopTime, func() { s.arrive(q) })
}

func (s *site) arrive(q *sequence) {
	m := q.path[q.stage]
	if q.ended || m.dead {
		return
	}
	m.queue = append(m.queue, q)
	if !m.busy {
		s.batch(m)
	}
}

func (s *site) batch(m *machine) {
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
	d := (m.step + time.Duration(n-1)*m.slot) * time.Duration(layers) / time.Duration(n)
	s.after(d, func() {
		for _, q := range batch {
			s.done(q)
		}
		s.batch(m)
	})
}

func (s *site) done(q *sequence) {
	if q.ended {
		return
	}
	if q.stage++; q.stage == len(q.path) {
		q.stage = 0
		q.left--
		q.tokens++
		if q.left == 0 {
			s.end(q)
			q.token()
			return
		}
		q.token()
	}
	s.after(hopTime, func() { s.arrive(q) })
}

func (s *site) end(q *sequence) {
	q.ended = true
	for _, m := range q.path {
		delete(m.assigned, q)
	}
}

func (s *site) fail(q *sequence, m *machine) {
	if !q.ended {
		s.end(q)
		q.failed(m)
	}
}

// kill ends a machine; its sequences fail in the order of their start.
func (s *site) kill(m *machine) {
	m.dead = true
	m.queue = nil
	var victims []*sequence
	for q := range m.assigned {
		victims = append(victims, q)
	}
	slices.SortFunc(victims, func(a, b *sequence) int { return a.id - b.id })
	for _, q := range victims {
		s.fail(q, m)
	}
}
