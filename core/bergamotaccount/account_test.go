package bergamotaccount

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamottest"
)

type answersCase struct {
	sizes   []int64 // of the answers of a faulty runner
	sound   int64   // size of an answer of each of two others, which come last
	evicted int     // answers of the faulty runner that are given up
	fails   bool    // a sound answer is given up
}

var _ = ginkgo.Describe("the account of memory", func() {
	clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
	// Guards against one runner that sends bytes without end and uses up the memory for the answers of all others.
	bergamottest.Cases(map[string]answersCase{
		"keeps all answers below it":                          {sizes: []int64{40, 30}, sound: 15},
		"gives up answers of the runner that needs most":      {sizes: []int64{30, 60}, sound: 15, evicted: 1},
		"gives up as many of them as needed":                  {sizes: []int64{33, 33, 33}, sound: 20, evicted: 2},
		"keeps large answers beside a runner that needs more": {sizes: []int64{25, 25, 25}, sound: 30, evicted: 2},
		"gives up a sound answer only if it needs most":       {sizes: []int64{10}, sound: 60, fails: true},
	}, func(c answersCase) {
		a := &Account{Max: 100, Clock: clock}
		evicted, failed := 0, 0
		var all []*Charge
		for _, size := range c.sizes {
			b := a.Open(NewHolder(KindAnswer, "faulty", func(Cause) { evicted++ }))
			if err := b.Resize(size); err != nil {
				evicted++
			}
			all = append(all, b)
		}
		for _, process := range []string{"a", "b"} {
			b := a.Open(NewHolder(KindAnswer, process, func(Cause) { failed++ }))
			for size := int64(1); size <= c.sound; size++ {
				if err := b.Resize(size); err != nil {
					gomega.Expect(errors.Is(err, ErrFull)).To(gomega.BeTrue())
					failed++
					break
				}
			}
			all = append(all, b)
		}
		gomega.Expect(evicted).To(gomega.Equal(c.evicted))
		gomega.Expect(failed > 0).To(gomega.Equal(c.fails))
		gomega.Expect(a.Total()).To(gomega.BeNumerically("<=", a.Max))
		for _, b := range all {
			b.Close()
			b.Close()
			gomega.Expect(b.Resize(1)).To(gomega.MatchError(ErrFull))
		}
		gomega.Expect(a.Total()).To(gomega.BeZero())
		gomega.Expect(a.owners).To(gomega.BeEmpty())
	})

	// Guards against requests at runners that use up all memory, so that not even small requests are served.
	ginkgo.It("keeps a quarter free of large bodies that runners have", func() {
		a := &Account{Max: 100 * SmallHolder, Clock: clock}
		hold := func(size int64) error {
			c := a.Open(NewHolder(KindBody, "w", nil))
			gomega.Expect(c.Resize(size)).To(gomega.Succeed())
			return c.Hold()
		}
		for range 3 {
			gomega.Expect(hold(25 * SmallHolder)).To(gomega.Succeed())
		}
		gomega.Expect(hold(SmallHolder)).To(gomega.MatchError(ErrFull))
		gomega.Expect(hold(SmallHolder - 1)).To(gomega.Succeed())
	})

	// Guards against evicted holders whose memory is used again before they have ended, and against answers of sound runners that
	// fail because those of another one have not ended.
	ginkgo.It("refuses large bodies, but not answers, while too many evicted holders have not ended", func() {
		a := &Account{Max: 100 * SmallHolder, Clock: clock}
		open := func(kind Kind, key string, size int64) (*Charge, error) {
			c := a.Open(NewHolder(kind, key, nil))
			gomega.Expect(c.Resize(1)).To(gomega.Succeed())
			gomega.Expect(c.Resize(min(size, SmallHolder))).To(gomega.Succeed())
			return c, c.Resize(size)
		}
		large, err := open(KindBody, "large", 60*SmallHolder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for range 3 { // the third one evicts the largest
			_, err = open(KindBody, "w", 20*SmallHolder)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		gomega.Expect(large.Cause()).To(gomega.Equal(CauseLargest))
		_, err = open(KindBody, "u", 59*SmallHolder)
		gomega.Expect(err).To(gomega.MatchError(ErrFull))
		_, err = open(KindAnswer, "t", 50*SmallHolder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		leaving := a.leaving
		large.Close()
		gomega.Expect(a.leaving).To(gomega.BeEquivalentTo(leaving - 60*SmallHolder))
	})

	// Guards against a lower maximum that takes effect only once another holder grows.
	ginkgo.It("evicts holders when the maximum becomes lower", func() {
		var events []Eviction
		a := &Account{Max: 100, Clock: clock, OnEvict: func(e Eviction) { events = append(events, e) }}
		cause := Cause("")
		c := a.Open(NewHolder(KindBody, "w", func(why Cause) { cause = why }))
		gomega.Expect(c.Resize(80)).To(gomega.Succeed())
		a.SetMax(50)
		gomega.Expect(cause).To(gomega.Equal(CauseLargest))
		gomega.Expect(c.Cause()).To(gomega.Equal(CauseLargest))
		gomega.Expect(events).To(gomega.HaveLen(1))
		gomega.Expect(events[0].Bytes()).To(gomega.BeEquivalentTo(80))
		gomega.Expect(a.Total()).To(gomega.BeZero())
	})
})

type readCase struct {
	size     int
	declared int64
	max      int64
	base     int64
	want     error
}

var _ = ginkgo.Describe("reading into memory that is charged", func() {
	const room = 1 << 20
	// Guards against data that changes on the way, memory that is not charged, and sizes that are taken from a declaration.
	bergamottest.Cases(map[string]readCase{
		"reads nothing":                        {declared: 0, max: room},
		"reads nothing without a declaration":  {declared: -1, max: room},
		"reads a small declared size":          {size: 100, declared: 100, max: room},
		"reads a large declared size":          {size: 300_000, declared: 300_000, max: room},
		"reads an unknown size":                {size: 300_000, declared: -1, max: room},
		"reads an unknown size without limit":  {size: 300_000, declared: -1},
		"reads exactly the limit":              {size: 5000, declared: -1, max: 5000},
		"rejects more than the limit":          {size: 5001, declared: -1, max: 5000, want: ErrTooLarge},
		"rejects more than declared":           {size: 101, declared: 100, max: room, want: ErrTooLarge},
		"rejects more than nothing":            {size: 1, declared: 0, max: room, want: ErrTooLarge},
		"is evicted beyond the account":        {size: 2 * room, declared: -1, max: 4 * room, want: ErrFull},
		"is evicted because of its head":       {size: 100, declared: 100, max: room, base: room, want: ErrFull},
		"does not believe a large declaration": {size: 100_000, declared: 100 * room, max: 200 * room},
	}, func(c readCase) {
		data := bytes.Repeat([]byte("0123456789"), c.size/10+1)[:c.size]
		for _, r := range []io.Reader{bytes.NewReader(data), iotest.DataErrReader(bytes.NewReader(data)), iotest.HalfReader(bytes.NewReader(data))} {
			a := &Account{Max: room, Clock: bergamotclock.Real{}}
			charge := a.Open(NewHolder(KindBody, "w", nil))
			got, err := ReadAll(r, charge, c.base, c.declared, c.max)
			if c.want != nil {
				gomega.Expect(err).To(gomega.MatchError(c.want))
				continue
			}
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(bytes.Equal(got, data)).To(gomega.BeTrue())
			gomega.Expect(a.Total()).To(gomega.BeEquivalentTo(cap(got)))
		}
	})
})

// TestAccountReturnsToZero guards against memory that stays charged, or a total above the maximum, after any order of arrivals,
// growth, progress, disconnections and evictions.
func TestAccountReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		a := &Account{Max: 10 * SmallHolder, Clock: clock}
		var open []*Charge
		evicted, before := map[*Charge]int{}, int64(0)
		kinds := []Kind{KindConnection, KindHead, KindBody, KindAnswer, KindPeer, KindStore}
		pick := func(t *rapid.T) *Charge {
			if len(open) == 0 {
				t.Skip("no holder")
			}
			return open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")]
		}
		size := rapid.Int64Range(0, 4*SmallHolder)
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				var c *Charge
				key := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "key")
				c = a.Open(NewHolder(rapid.SampledFrom(kinds).Draw(t, "kind"), key, func(Cause) { evicted[c]++ }))
				open = append(open, c)
			},
			"resize": func(t *rapid.T) {
				c := pick(t)
				if err := c.Resize(size.Draw(t, "size")); err == nil && c.index < 0 {
					t.Fatal("a closed charge took memory")
				}
			},
			"progress": func(t *rapid.T) { pick(t).Progress(rapid.IntRange(0, 1<<16).Draw(t, "bytes")) },
			"begin":    func(t *rapid.T) { pick(t).Begin(rapid.SampledFrom([]Kind{KindHead, KindBody}).Draw(t, "kind")) },
			"serve":    func(t *rapid.T) { pick(t).Serve() },
			"idle":     func(t *rapid.T) { pick(t).Idle(size.Draw(t, "size")) },
			"hold":     func(t *rapid.T) { _ = pick(t).Hold() },
			"close":    func(t *rapid.T) { pick(t).Close() },
			"max": func(t *rapid.T) {
				a.SetMax(rapid.Int64Range(SmallHolder, 20*SmallHolder).Draw(t, "max"))
				for i := range a.states {
					if a.total > a.Max && a.states[i].size > 0 && a.states[i].isEvictable(KindAnswer) {
						t.Fatal("a holder was not evicted")
					}
				}
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "time")))
			},
			"": func(t *rapid.T) {
				total, held := int64(0), int64(0)
				owners := map[*owner]int64{}
				for i, s := range a.states {
					total, held = total+s.size, held+s.heldBytes()
					owners[s.owner] += s.size
					if a.charges[i].index != i {
						t.Fatal("a charge lost its state")
					}
				}
				for o, want := range owners {
					if o.total != want {
						t.Fatalf("a key holds %d, not %d", want, o.total)
					}
				}
				if total != a.total || held != a.held {
					t.Fatalf("the holders have %d, of which %d are held, not %d and %d", total, held, a.total, a.held)
				}
				// Held memory stays above a maximum that becomes lower, but it does not grow.
				if a.total > a.Max && a.total > before {
					t.Fatalf("%d is above the maximum of %d", a.total, a.Max)
				}
				before = a.total
				for _, n := range evicted {
					if n > 1 {
						t.Fatal("a holder was evicted twice")
					}
				}
			},
		})
		for _, c := range open {
			c.Close()
		}
		if a.total != 0 || a.held != 0 || a.leaving != 0 || len(a.states) != 0 || len(a.owners) != 0 {
			t.Fatalf("%d bytes of %d holders are left", a.total, len(a.states))
		}
	})
}

// BenchmarkResize measures growth without pressure beside 2,000 other holders, and with pressure.
func BenchmarkResize(b *testing.B) {
	for name, limit := range map[string]int64{"free": 1 << 40, "pressure": 2000 << 10} {
		b.Run(name, func(b *testing.B) {
			a := &Account{Max: limit, Clock: bergamotclock.Real{}}
			for range 2000 {
				_ = a.Open(NewHolder(KindBody, "w", nil)).Resize(1 << 10)
			}
			c := a.Open(NewHolder(KindStore, "s", nil))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if a.Total() < limit/2 && limit < 1<<40 {
					b.StopTimer()
					for a.Total() < limit-2048 {
						_ = a.Open(NewHolder(KindBody, "w", nil)).Resize(1 << 10)
					}
					b.StartTimer()
				}
				_ = c.Resize(int64(i % 2048))
			}
		})
	}
}
