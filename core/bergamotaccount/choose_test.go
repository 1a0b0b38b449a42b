package bergamotaccount

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

type chooseCase struct {
	states    []holderState
	requester Kind // KindBody by default
	want      int
	cause     Cause
}

var _ = ginkgo.Describe("the choice of a holder to evict", func() {
	const now, kb = 10 * time.Second, 1 << 10
	many, few, small := &owner{total: 900 * kb}, &owner{total: 500 * kb}, &owner{total: 20 * kb}
	body := func(o *owner, size int64, age, pause time.Duration, arrived int64) holderState {
		return holderState{kind: KindBody, owner: o, size: size, began: now - age, progress: now - pause, arrived: arrived}
	}
	fresh := func(o *owner, size int64) holderState { return body(o, size, time.Second, 0, size) }
	with := func(s holderState, k Kind, m mode) holderState {
		s.kind, s.mode = k, m
		return s
	}
	// Guards against small requests and sound callers that lose their memory to a client that causes overload, and against
	// requests that are given up although a runner has them.
	bergamottest.Cases(map[string]chooseCase{
		"is nothing without holders": {want: -1},
		"is the connection that is idle for longest": {
			states: []holderState{
				body(many, 300*kb, 9*time.Second, 5*time.Second, 1), with(body(few, kb, 0, time.Second, 0), KindConnection, modeIdle),
				with(body(few, kb, 0, 2*time.Second, 0), KindConnection, modeIdle),
			},
			want: 2, cause: CauseIdle,
		},
		"is the body without progress for longest": {
			states: []holderState{fresh(many, 300*kb), body(few, 20*kb, 3*time.Second, 1100*time.Millisecond, 1), body(few, 20*kb, 3*time.Second, 1200*time.Millisecond, 1)},
			want:   2, cause: CauseStalled,
		},
		"is a head without progress": {
			states: []holderState{fresh(many, 300*kb), with(body(few, 20*kb, 2*time.Second, 2*time.Second, 1), KindHead, modeArriving)},
			want:   1, cause: CauseStalled,
		},
		"is the slowest body": {
			states: []holderState{
				fresh(many, 300*kb), body(few, 40*kb, 3*time.Second, 0, 30*kb), body(few, 40*kb, 4*time.Second, 0, 30*kb), body(few, 80*kb, 4*time.Second, 0, 70*kb),
			},
			want: 2, cause: CauseSlow,
		},
		"is no body that has begun just now for its rate": {
			states: []holderState{fresh(many, 300*kb), body(few, 40*kb, 1900*time.Millisecond, 0, 1)},
			want:   0, cause: CauseLargest,
		},
		"is the largest of the key that holds most": {
			states: []holderState{fresh(few, 400*kb), fresh(many, 200*kb), fresh(many, 300*kb), fresh(many, 100*kb)},
			want:   2, cause: CauseLargest,
		},
		"is a small one only when nothing larger is left": {
			states: []holderState{body(many, 15*kb, 9*time.Second, 9*time.Second, 1), fresh(small, 17*kb)},
			want:   1, cause: CauseLargest,
		},
		"is a small one without progress before another small one": {
			states: []holderState{fresh(many, 15*kb), body(small, kb, 9*time.Second, 9*time.Second, 1)},
			want:   1, cause: CauseStalled,
		},
		"is no connection with a small head": {
			states: []holderState{{kind: KindHead, owner: many, size: 55 * kb, fixed: 40 * kb}, fresh(small, 17*kb)},
			want:   1, cause: CauseLargest,
		},
		"is no request that a runner has": {
			states: []holderState{with(fresh(many, 300*kb), KindBody, modeHeld), fresh(small, kb)},
			want:   1, cause: CauseLargest,
		},
		"is no stream for a body": {
			states: []holderState{with(fresh(many, 300*kb), KindAnswer, modeHeld)},
			want:   -1,
		},
		"is a stream for an answer that grows": {
			states: []holderState{with(fresh(many, 300*kb), KindAnswer, modeHeld)}, requester: KindAnswer,
			want: 0, cause: CauseLargest,
		},
		"is no body that a runner has for an answer that grows": {
			states: []holderState{with(fresh(many, 300*kb), KindBody, modeHeld)}, requester: KindAnswer,
			want: -1,
		},
		"is no reply of the store": {
			states: []holderState{with(fresh(many, 300*kb), KindStore, modeHeld)},
			want:   -1,
		},
		"is no answer for its pauses": {
			states: []holderState{with(body(few, 40*kb, 9*time.Second, 9*time.Second, 1), KindAnswer, modeArriving), fresh(many, 300*kb)},
			want:   1, cause: CauseLargest,
		},
		"is none without memory": {states: []holderState{fresh(many, 0)}, want: -1},
	}, func(c chooseCase) {
		if c.requester == "" {
			c.requester = KindBody
		}
		index, cause := choose(c.states, now, c.requester)
		gomega.Expect(index).To(gomega.Equal(c.want))
		gomega.Expect(cause).To(gomega.Equal(c.cause))
	})
})
