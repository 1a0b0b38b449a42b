package bergamotdetour_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotdetour"
	"bergamotspur/core/bergamottest"
)

// event is what an entry sees of one runner.
type event struct {
	at     time.Duration // since the last event
	runner int
	direct bool // a direct connection was established; otherwise it failed
	silent bool // nothing answered
	answer bergamotdetour.Answer
}

func missed(at time.Duration, runner int, silent bool, a bergamotdetour.Answer) event {
	return event{at: at, runner: runner, silent: silent, answer: a}
}

type lossCase struct {
	events []event
	lost   bool
	silent bool
}

var _ = ginkgo.Describe("the links of an entry to the runners", func() {
	const ms = time.Millisecond
	reached, unreached := bergamotdetour.AnswerConnected, bergamotdetour.AnswerUnreached
	// Guards against an entry that goes on alone although its own links are cut, and against dead runners, a dead data centre or a slow
	// machine that look like a cut.
	bergamottest.Cases(map[string]lossCase{
		"are lost when helpers reach two runners that refuse": {
			events: []event{missed(0, 1, false, reached), missed(ms, 2, false, reached)}, lost: true,
		},
		"are not lost because of one runner": {
			events: []event{missed(0, 1, false, reached), missed(ms, 1, false, reached), missed(ms, 1, false, reached)},
		},
		"are lost silently when helpers reach three runners that do not answer": {
			events: []event{missed(0, 1, true, reached), missed(ms, 2, true, reached), missed(ms, 3, true, reached)}, lost: true, silent: true,
		},
		"are not lost when two runners are late": {
			events: []event{missed(0, 1, true, reached), missed(ms, 2, true, reached)},
		},
		"are not lost when other runners are reached meanwhile": {
			events: []event{missed(0, 1, false, reached), {at: ms, runner: 3, direct: true}, missed(ms, 2, false, reached)},
		},
		"are not lost when runners of a data centre are dead": {
			events: []event{missed(0, 1, false, unreached), missed(ms, 2, false, unreached), missed(ms, 3, true, unreached), missed(ms, 4, true, unreached), missed(ms, 5, true, unreached)},
		},
		"are not lost when helpers find several runners dead, also after a while": {
			events: []event{missed(0, 1, false, unreached), missed(100*ms, 2, false, unreached), missed(100*ms, 3, false, unreached), missed(200*ms, 4, false, unreached)},
		},
		"are not lost when what helpers said of dead runners is a second old": {
			events: []event{missed(0, 1, false, unreached), missed(ms, 2, false, unreached), missed(ms, 3, false, unreached), missed(ms, 4, false, unreached), missed(1100*ms, 5, false, "")},
		},
		"are lost when no runner is reached for long, since all entries may be cut": {
			events: []event{missed(0, 1, false, ""), missed(ms, 2, false, unreached), missed(ms, 3, false, ""), missed(ms, 4, false, ""), missed(300*ms, 5, false, "")}, lost: true,
		},
		"are not lost when runners died long before others": {
			events: []event{missed(0, 1, false, reached), missed(600*ms, 2, false, reached)},
		},
	}, func(c lossCase) {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		var changes []bergamotdetour.Change
		l := &bergamotdetour.Links{Clock: clock, OnChange: func(c bergamotdetour.Change) { changes = append(changes, c) }}
		for _, e := range c.events {
			clock.Advance(e.at)
			if address := fmt.Sprint(e.runner); e.direct {
				l.Connected(address)
			} else {
				l.Missed(address, e.silent, e.answer)
			}
		}
		gomega.Expect(l.AreLost()).To(gomega.Equal(c.lost))
		_, silent := l.SilentSince()
		gomega.Expect(silent).To(gomega.Equal(c.silent))
		gomega.Expect(changes).To(gomega.HaveLen(map[bool]int{true: 1}[c.lost]))
	})

	// Guards against an entry that returns to links that work for a moment only, or never.
	ginkgo.It("work again after three probes in a row, and not after connections that were on their way", func() {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		var changes []bergamotdetour.Change
		l := &bergamotdetour.Links{Clock: clock, OnChange: func(c bergamotdetour.Change) { changes = append(changes, c) }}
		l.Missed("1", false, reached)
		l.Missed("2", false, reached)
		clock.Advance(time.Second)
		l.Connected("1")
		for _, connected := range []bool{true, true, false, true, true} {
			l.Probed(connected)
			gomega.Expect(l.UsesHelper("9")).To(gomega.BeTrue())
		}
		l.Probed(true)
		gomega.Expect(l.UsesHelper("1")).To(gomega.BeFalse())
		gomega.Expect(changes).To(gomega.HaveLen(2))
		gomega.Expect(changes[0].Lost()).To(gomega.BeTrue())
		gomega.Expect(changes[0].Apart()).To(gomega.Equal(2))
		gomega.Expect(changes[1].Lost()).To(gomega.BeFalse())
		gomega.Expect(changes[1].Lasted()).To(gomega.Equal(time.Second))
	})
})

type detourCase struct {
	before event
	wait   time.Duration
	late   bool
	uses   bool // a connection is opened over a helper only
	may    bool // a helper may be asked
}

var _ = ginkgo.Describe("a detour to one runner", func() {
	// Guards against detours that double the connections to dead runners, and against direct connections that are tried again and again
	// although only helpers reach the runner.
	bergamottest.Cases(map[string]detourCase{
		"is tried after a failure":                                 {before: event{direct: true}, may: true},
		"is tried when the connection is late":                     {before: event{direct: true}, late: true, may: true},
		"is the only way right after a helper reached it":          {before: missed(0, 0, false, bergamotdetour.AnswerConnected), uses: true, may: true},
		"is no longer the only way after half a second":            {before: missed(0, 0, false, bergamotdetour.AnswerConnected), wait: 500 * time.Millisecond, may: true},
		"is not tried when helpers did not reach it":               {before: missed(0, 0, true, bergamotdetour.AnswerUnreached)},
		"is tried again a second later":                            {before: missed(0, 0, true, bergamotdetour.AnswerUnreached), wait: time.Second, may: true},
		"is tried when no helper could say whether it can be used": {before: missed(0, 0, true, ""), may: true},
	}, func(c detourCase) {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		l := &bergamotdetour.Links{Clock: clock}
		if c.before.direct {
			l.Connected("0")
		} else {
			l.Missed("0", c.before.silent, c.before.answer)
		}
		clock.Advance(c.wait)
		gomega.Expect(l.UsesHelper("0")).To(gomega.Equal(c.uses))
		gomega.Expect(l.MayDetour("0", c.late)).To(gomega.Equal(c.may))
	})

	// Guards against a machine short of processor time that sends its connections over others because they are late.
	ginkgo.It("is tried for a few late connections a second only", func() {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		l := &bergamotdetour.Links{Clock: clock}
		asked := 0
		for n := range 100 {
			clock.Advance(20 * time.Millisecond)
			if l.MayDetour(fmt.Sprint(n), true) {
				asked++
			}
		}
		gomega.Expect(asked).To(gomega.And(gomega.BeNumerically(">=", 10), gomega.BeNumerically("<=", 20)), "ten at once and five a second for two seconds")
	})
})

type reachCase struct {
	lost, helped     bool
	isolated, silent bool
}

// available tells whether an entry helps.
type available bool

func (a available) Available() bool { return bool(a) }

var _ = ginkgo.Describe("the reach of an entry", func() {
	// Guards against requests that are refused although another entry helps, and against streams that leave a silent connection for
	// nothing.
	bergamottest.Cases(map[string]reachCase{
		"is its own while its links work":           {},
		"is that of a helper when they are lost":    {lost: true, helped: true, silent: true},
		"is none when they are lost and none helps": {lost: true, isolated: true},
	}, func(c reachCase) {
		l := &bergamotdetour.Links{Clock: bergamotclock.NewVirtual(time.Unix(1000, 0))}
		for n := 0; c.lost && n < 3; n++ {
			l.Missed(fmt.Sprint(n), true, bergamotdetour.AnswerConnected)
		}
		r := &bergamotdetour.Reach{Links: l, Helpers: available(c.helped)}
		gomega.Expect(r.IsIsolated()).To(gomega.Equal(c.isolated))
		_, silent := r.SilentSince()
		gomega.Expect(silent).To(gomega.Equal(c.silent))
	})
})

var _ = ginkgo.Describe("the record of help between entries", func() {
	// Guards against a log with a line for each connection.
	ginkgo.It("names each begin once", func() {
		r, now := &bergamotdetour.Record{}, time.Unix(1000, 0)
		gomega.Expect(r.Begins("a", now)).To(gomega.BeTrue())
		gomega.Expect(r.Begins("b", now)).To(gomega.BeTrue())
		for range 10 {
			now = now.Add(4 * time.Second)
			gomega.Expect(r.Begins("a", now)).To(gomega.BeFalse())
		}
		gomega.Expect(r.Begins("a", now.Add(5*time.Second))).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("the links of an entry that misses three runners", func() {
	// Guards against helpers that call themselves cut because several runners have crashed.
	ginkgo.It("are doubtful when it has reached none for a while", func() {
		clock := bergamotclock.NewVirtual(time.Unix(1000, 0))
		l := &bergamotdetour.Links{Clock: clock}
		for n := range 3 {
			l.Missed(fmt.Sprint(n), false, "")
		}
		gomega.Expect(l.AreDoubtful()).To(gomega.BeFalse())
		clock.Advance(150 * time.Millisecond)
		gomega.Expect(l.AreDoubtful()).To(gomega.BeTrue())
		l.Connected("9")
		gomega.Expect(l.AreDoubtful()).To(gomega.BeFalse())
	})
})
