package bergamotrelay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	// lookPeriod is the time between two looks at a stream. A pause of more than about 200 ms makes a stream late,
	// and a dead runner on the path is only known from such a pause.
	lookPeriod = 130 * time.Millisecond
	// knownGap is the pause after which a stream leaves a path on which another stream found a dead runner.
	knownGap = 120 * time.Millisecond
	// askGap is the pause after which the first runner is asked what the stream waits for. A calm stream pauses for
	// some 20 ms, one behind long prompts for some 100 ms.
	askGap = 250 * time.Millisecond
	// askTime is how long the first runner may take to answer before it counts as silent itself.
	askTime = 250 * time.Millisecond
)

// errStalled is in the chain of the failure of a stalled attempt.
var errStalled = errors.New("no event for too long")

// Watch notices attempts that wait for a dead runner. The platform cuts them off only after a time that is longer
// than callers are willing to wait.
type Watch struct {
	Clock    Clock
	Reporter bergamotcluster.Reporter
	Avoided  func(runner string) bool // tells whether a runner is known not to answer

	mu    sync.Mutex
	asked map[string]*question
}

// question is a report of a runner that several attempts wait for.
type question struct {
	done   chan struct{}
	at     time.Time
	report bergamotcluster.Report
	err    error
}

// watched is one attempt.
type watched struct {
	watch   *Watch
	request string
	plan    bergamotroute.Plan
	cancel  context.CancelCauseFunc
	last    atomic.Int64 // Unix nanoseconds of the last progress
	timer   *time.Timer
	ended   atomic.Bool
}

func (w *Watch) begin(request string, p bergamotroute.Plan, cancel context.CancelCauseFunc) *watched {
	v := &watched{watch: w, request: request, plan: p, cancel: cancel}
	v.progress()
	v.timer = time.AfterFunc(lookPeriod, v.look)
	return v
}

func (v *watched) end() {
	v.ended.Store(true)
	v.timer.Stop()
}

func (v *watched) progress() { v.last.Store(v.watch.Clock.Now().UnixNano()) }

// look ends the attempt when it waits for a dead runner.
func (v *watched) look() {
	if v.ended.Load() {
		return
	}
	gap := time.Duration(v.watch.Clock.Now().UnixNano() - v.last.Load())
	if gap >= knownGap {
		for _, s := range v.plan.Stages() {
			if v.watch.Avoided(s.Instance()) {
				v.stop(s.Address(), "another request found the runner silent")
				return
			}
		}
	}
	if gap >= askGap {
		first := v.plan.Stages()[0].Address()
		r, err := v.watch.ask(first)
		if v.ended.Load() {
			return
		}
		if err != nil {
			v.stop(first, "the first runner of the path does not answer")
			return
		}
		if address, ok := r.Stalled(v.request); ok {
			v.stop(address, "the first runner of the path waits for it")
			return
		}
	}
	v.timer.Reset(lookPeriod)
}

func (v *watched) stop(address, why string) {
	f := NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonStall, errors.Join(errStalled, errors.New(why)))
	v.cancel(f.At(address))
}

// ask returns the report of a runner; attempts that wait for the same runner share one question.
func (w *Watch) ask(address string) (bergamotcluster.Report, error) {
	w.mu.Lock()
	if w.asked == nil {
		w.asked = map[string]*question{}
	}
	q, ok := w.asked[address]
	now := w.Clock.Now()
	if !ok || now.Sub(q.at) > lookPeriod {
		q = &question{done: make(chan struct{}), at: now}
		w.asked[address] = q
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), askTime)
			defer cancel()
			q.report, q.err = w.Reporter.Report(ctx, address)
			close(q.done)
		}()
	}
	w.mu.Unlock()
	<-q.done
	return q.report, q.err
}
