package bergamotrelay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// errStalled is in the chain of the failure of a stalled attempt.
var errStalled = errors.New("no event for too long")

// watchSpec describes an attempt to a watch.
type watchSpec struct {
	request string // identifier
	plan    bergamotroute.Plan
	allowed time.Duration // longest pause with which the answer is on time, 0 for none
	leave   func() bool   // takes the right to go on at another path, nil when there is none
	cancel  context.CancelCauseFunc
}

// watched is one attempt.
type watched struct {
	watchSpec
	watch   *Watch
	last    atomic.Int64 // Unix nanoseconds of the last progress
	flowing atomic.Bool  // an event has come
	sending atomic.Bool  // events wait for the caller to take them
	ended   atomic.Bool
	longest time.Duration // pause between two events; only the goroutine of the attempt touches it
	timer   *time.Timer
}

// begin watches an attempt until its end.
func (w *Watch) begin(s watchSpec) *watched {
	v := &watched{watchSpec: s, watch: w}
	v.last.Store(w.Clock.Now().UnixNano())
	v.timer = time.AfterFunc(lookPeriod, v.look)
	return v
}

// end stops the watch.
func (v *watched) end() {
	v.ended.Store(true)
	v.timer.Stop()
}

// finished records that the attempt was answered to its end.
func (v *watched) finished() {
	if v.flowing.Load() {
		v.watch.pauses.learn(v.longest)
	}
}

// receive records that events have come, which the caller has not taken yet.
func (v *watched) receive() {
	v.sending.Store(true)
	if v.flowing.Swap(true) {
		v.longest = max(v.longest, v.gap())
	}
}

// sent records that the caller has taken the events.
func (v *watched) sent() {
	v.last.Store(v.watch.Clock.Now().UnixNano())
	v.sending.Store(false)
}

func (v *watched) gap() time.Duration {
	return time.Duration(v.watch.Clock.Now().UnixNano() - v.last.Load())
}

// look ends the attempt when it waits for a dead runner, and sets the time of the next look.
func (v *watched) look() {
	if v.ended.Load() {
		return
	}
	next := lookPeriod
	switch {
	case v.sending.Load():
	case v.flowing.Load():
		if left := v.watch.pauses.limit(v.allowed) - v.gap(); left > 0 {
			next = left
		} else if v.move() || v.inquire() {
			return
		}
	case v.inquire():
		return
	}
	v.timer.Reset(next)
}

// move lets a stream that pauses go on at another path before its pause is too long, if a runner of its path does not
// answer, and tells whether it did. A pause on a path of slow runners is not worth one of the few attempts.
func (v *watched) move() bool {
	if v.leave == nil {
		return false
	}
	address, found := v.silent()
	if !found {
		pause := v.gap()
		if address, found = v.watch.unanswered(v.plan); !found {
			v.watch.pauses.learn(pause)
		}
	}
	if !found || v.ended.Load() || v.sending.Load() || v.gap() < answerTime || !v.leave() {
		return false
	}
	f := NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonStall, errors.Join(errStalled, errors.New("a runner does not answer")))
	f.allowed = true
	v.cancel(f.At(address))
	return true
}

// silent returns the address of a runner of the path that is known not to answer.
func (v *watched) silent() (address string, ok bool) {
	for _, s := range v.plan.Stages() {
		if v.watch.Avoided(s.Instance()) {
			return s.Address(), true
		}
	}
	return "", false
}

// inquire asks the first runner of the path what the attempt waits for, and tells whether it ended the attempt.
func (v *watched) inquire() bool {
	gap := v.gap()
	if address, known := v.silent(); known && gap >= knownGap {
		return v.stop(address, "another request found the runner silent")
	}
	if gap < askGap {
		return false
	}
	first := v.plan.Stages()[0].Address()
	r, err := v.watch.ask(first)
	if v.ended.Load() {
		return true
	}
	if err != nil {
		return v.stop(first, "the first runner of the path does not answer")
	}
	if address, ok := r.StalledOn(v.request); ok {
		return v.stop(address, "the first runner of the path waits for it")
	}
	return false
}

func (v *watched) stop(address, why string) bool {
	f := NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonStall, errors.Join(errStalled, errors.New(why)))
	v.cancel(f.At(address))
	return true
}
