package bergamotrate

import (
	"context"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamottest"
)

var testStart = time.Unix(1000, 0)

func newRegistry() (*Registry, *bergamotclock.Virtual) {
	clock := bergamotclock.NewVirtual(testStart)
	return &Registry{Clock: clock, StoreTime: func() (time.Duration, bool) { return clock.Now().Sub(testStart) + time.Hour, true }}, clock
}

type registryCase struct {
	limits []Limit
	rate   float64 // in the end
	ended  bool
	news   int // limits that changed what the registry says
}

var _ = ginkgo.Describe("the limits of runners", func() {
	limit := func(rate float64, at int) Limit { return NewLimit("r@1", rate, time.Duration(at)*time.Second) }
	// Guards against an old word of a runner that replaces a newer one because it took a longer way, and against news that are none.
	bergamottest.Cases(map[string]registryCase{
		"begin with the first":                     {limits: []Limit{limit(2, 1)}, rate: 2, news: 1},
		"rise and fall with later ones":            {limits: []Limit{limit(2, 1), limit(0.5, 2), limit(9, 3)}, rate: 9, news: 3},
		"may be nothing":                           {limits: []Limit{limit(0, 1)}, news: 1},
		"stay with an older one":                   {limits: []Limit{limit(2, 2), limit(9, 1)}, rate: 2, news: 1},
		"stay with a repeated one, which is later": {limits: []Limit{limit(2, 1), limit(2, 3), limit(9, 2)}, rate: 2, news: 1},
		"are the lower of two at the same time":    {limits: []Limit{limit(9, 1), limit(2, 1)}, rate: 2, news: 2},
		"end with an answer without one":           {limits: []Limit{limit(2, 1), NewEnd("r@1", 2*time.Second)}, ended: true, news: 2},
		"do not end with an older answer":          {limits: []Limit{limit(2, 2), NewEnd("r@1", time.Second)}, rate: 2, news: 1},
		"do not end before they begin":             {limits: []Limit{NewEnd("r@1", time.Second)}, ended: true},
		"give way to one with a time":              {limits: []Limit{limit(9, 0), limit(2, 1)}, rate: 2, news: 2},
		"are those of a process":                   {limits: []Limit{NewLimit("r@2", 2, time.Second)}, ended: true, news: 1},
	}, func(c registryCase) {
		b, _ := newRegistry()
		news := 0
		for _, l := range c.limits {
			news += len(b.Learn([]Limit{l}, false))
		}
		rate, limited := b.Rate("r@1")
		gomega.Expect(limited).To(gomega.Equal(!c.ended))
		gomega.Expect(rate).To(gomega.Equal(c.rate))
		gomega.Expect(news).To(gomega.Equal(c.news))
	})

	// Guards against a limit that never ends because the store's clock has gone back in a restore.
	ginkgo.It("follow each answer to this entry", func() {
		b, _ := newRegistry()
		b.Learn([]Limit{limit(2, 1000000)}, false)
		b.named("r@1", 3)
		rate, _ := b.Rate("r@1")
		gomega.Expect(rate).To(gomega.Equal(3.0))
		gomega.Expect(b.unnamed("r@1")).To(gomega.HaveLen(1))
		gomega.Expect(b.Any()).To(gomega.BeFalse())
	})

	// Guards against limits of runners that are gone for good.
	ginkgo.It("are forgotten with their process, and their ends after a while", func() {
		b, clock := newRegistry()
		b.named("r@1", 2)
		b.named("r@2", 2)
		b.unnamed("r@2")
		clock.Advance(2 * endTTL)
		b.Retain(func(string) bool { return false })
		b.named("r@3", 1)
		list, _, _ := b.Since(0, false)
		gomega.Expect(list).To(gomega.HaveLen(1))
	})
})

type poolCase struct {
	rate    float64
	given   int
	wait    time.Duration // after the permits were given
	lowered float64       // limit that is named then, 0 for the same
	entries int
	silent  time.Duration // since an owner has answered last, with a try each 100 ms
	want    int           // permits that can be taken then
}

var _ = ginkgo.Describe("the permits of an entry", func() {
	// Guards against permits that are used long after the owner gave them out, beyond a limit that has fallen, and against entries without an
	// owner that each use a permit at once.
	bergamottest.Cases(map[string]poolCase{
		"are used once each":                              {rate: 10, given: 3, want: 3},
		"expire":                                          {rate: 10, given: 3, wait: permitTTL},
		"are fewer after the limit has fallen":            {rate: 100, given: 20, lowered: 10, want: 3},
		"are none under a limit of nothing":               {rate: 0, silent: time.Minute, entries: 4},
		"are none without an owner at first":              {rate: 10, silent: ownerTimeout - 100*time.Millisecond, entries: 4},
		"are none without an owner or a count of entries": {rate: 10, silent: time.Minute},
		"are a part without an owner":                     {rate: 8, silent: ownerTimeout + 10*time.Second, entries: 4, want: 10},
		"are rare for one of many without an owner":       {rate: 8, silent: ownerTimeout + 10*time.Second, entries: 840},
	}, func(c poolCase) {
		b, clock := newRegistry()
		taken := 0
		p := &Pool{Clock: clock, Registry: b, Random: func() float64 { return 0 }, Entries: func() int { return c.entries }, OnUnowned: func(string) {}, onWant: func() {}}
		b.named("r@1", c.rate)
		p.put(clock.Now(), map[string]int{"r@1": c.given}, Permits{"r@1": c.given})
		clock.Advance(c.wait)
		if c.lowered > 0 {
			b.named("r@1", c.lowered)
			p.reduce("r@1", c.lowered)
		}
		for range c.silent / (100 * time.Millisecond) {
			clock.Advance(100 * time.Millisecond)
			for p.Take("r@1") {
				taken++
			}
		}
		for p.Take("r@1") {
			taken++
		}
		gomega.Expect(taken).To(gomega.BeNumerically("~", c.want, 1*min(c.silent.Seconds(), 1)))
		gomega.Expect(p.Take("other@1")).To(gomega.BeTrue())
	})

	// Guards against a burst after a silence: ten requests after a second without any are not within a limit of ten.
	ginkgo.It("are given out at the pace of the limit, also after a silence", func() {
		now, i := testStart, issuer{}
		gomega.Expect(i.issue(now, "r@1", 10, 10)).To(gomega.Equal(0))
		gomega.Expect(i.issue(now.Add(time.Second), "r@1", 10, 10)).To(gomega.Equal(2))
		gomega.Expect(i.issue(now.Add(1100*time.Millisecond), "r@1", 10, 10)).To(gomega.Equal(1))
		gomega.Expect(i.issue(now.Add(time.Minute), "r@1", 200, 64)).To(gomega.Equal(50))
	})
})

type queueCase struct {
	before  []Urgency
	joins   Urgency
	pace    Pace
	bound   time.Duration
	refused bool
	first   bool // it goes before all others
	after   time.Duration
}

var _ = ginkgo.Describe("the queue of requests at the limits of runners", func() {
	at := func(priority, second int) Urgency {
		return Urgency{Priority: priority, Arrived: testStart.Add(time.Duration(second) * time.Second)}
	}
	two := Pace{Known: true, All: 8, Part: 2}
	// Guards against a request that waits although its turn comes too late, one that is told to return before that, and against a less
	// urgent one that goes first.
	bergamottest.Cases(map[string]queueCase{
		"begins with the first request":           {joins: at(5, 1), pace: two, bound: time.Second, first: true},
		"is joined in the order of arrival":       {before: []Urgency{at(5, 1)}, joins: at(5, 2), pace: two, bound: time.Second},
		"lets urgent requests go first":           {before: []Urgency{at(5, 1), at(5, 2)}, joins: at(0, 3), pace: two, bound: time.Second, first: true},
		"lets streams that have begun go first":   {before: []Urgency{at(0, 1)}, joins: Urgency{Resumes: true, Priority: 9, Arrived: testStart.Add(time.Hour)}, pace: two, bound: time.Second, first: true},
		"refuses who would wait for too long":     {before: []Urgency{at(5, 1), at(5, 2)}, joins: at(5, 3), pace: two, bound: time.Second, refused: true, after: 1500 * time.Millisecond},
		"refuses the first one only at a trickle": {joins: at(5, 1), pace: Pace{Known: true, All: 0.5, Part: 0.25}, bound: time.Second, refused: true, after: 4 * time.Second},
		"refuses all where runners take nothing":  {joins: at(5, 1), pace: Pace{Known: true}, bound: time.Second, refused: true},
		"is joined while the pace is not known":   {before: []Urgency{at(5, 1), at(5, 2)}, joins: at(5, 3), bound: time.Second},
	}, func(c queueCase) {
		l := &Queue{Clock: bergamotclock.NewVirtual(testStart)}
		var tickets []*Ticket
		for _, u := range c.before {
			p, _, ok := l.Join(u, time.Hour, Pace{})
			gomega.Expect(ok).To(gomega.BeTrue())
			tickets = append(tickets, p)
		}
		p, after, ok := l.Join(c.joins, c.bound, c.pace)
		gomega.Expect(ok).To(gomega.Equal(!c.refused))
		gomega.Expect(after).To(gomega.Equal(c.after))
		if c.refused {
			if c.after == 0 {
				return // nothing is known of the time
			}
			_, next, _ := l.Join(c.joins, c.bound, c.pace)
			gomega.Expect(next).To(gomega.Equal(c.after + time.Duration(float64(time.Second)/c.pace.Part))) // nobody is told to return at the same time
			return
		}
		gomega.Expect(p.IsFirst()).To(gomega.Equal(c.first))
		for _, other := range tickets {
			other.Leave(true)
		}
		gomega.Expect(p.IsFirst()).To(gomega.BeTrue())
		gomega.Expect(p.Turn()).To(gomega.Receive())
	})
})

// deafNetwork has one entry that gives no answer, and one that gives each permit.
type deafNetwork struct{ asked []string }

func (n *deafNetwork) Permits(_ context.Context, to bergamotmirror.Peer, wants []Want, _ int) (Permits, error) {
	n.asked = append(n.asked, to.Name())
	if to.Name() == "old" {
		return nil, ErrNoOwner
	}
	given := Permits{}
	for _, w := range wants {
		given[w.Limit().Process()] = w.Number()
	}
	return given, nil
}

func (n *deafNetwork) IsOwner() bool { return false }

func (n *deafNetwork) Toward() []bergamotmirror.Peer {
	return []bergamotmirror.Peer{bergamotmirror.NewPeer("old", "old"), bergamotmirror.NewPeer("new", "new")}
}

func (n *deafNetwork) Lead() (bergamotmirror.Peer, bool) { return bergamotmirror.Peer{}, false }

var _ = ginkgo.Describe("a query for permits", func() {
	// Guards against an entry that stays without permits because the one that it follows is of an older build, or does not answer.
	ginkgo.It("goes another way where one does not lead to the owner", func() {
		b, clock := newRegistry()
		n, p := &deafNetwork{}, &Pool{Clock: clock, Registry: b, Random: func() float64 { return 0 }, Entries: func() int { return 4 }}
		broker := &Broker{
			Clock: clock, Registry: b, Pool: p, Network: n, Directory: n, Random: func(int) int { return 0 }, IsKnown: func(string) bool { return true },
			OnAsk: func(string, int, int, error) {}, OnOwner: func(bool) {}, OnChange: func(Limit, Limit) {},
		}
		broker.Init()
		b.Learn([]Limit{NewLimit("r@1", 2, time.Hour)}, false)
		for range 2 {
			p.account("r@1").wanted = 1
			broker.Step(context.Background())
		}
		gomega.Expect(slices.Compact(n.asked)).To(gomega.Equal([]string{"old", "new"})) // the old one is left out for a while
		gomega.Expect(p.Take("r@1") && p.Take("r@1")).To(gomega.BeTrue())
		gomega.Expect(p.Take("r@1")).To(gomega.BeFalse())
	})
})
