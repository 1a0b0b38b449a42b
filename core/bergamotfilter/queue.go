package bergamotfilter

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"bergamotspur/core/bergamotadmission"
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotqueue"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	paceAge    = 250 * time.Millisecond // age of the capacity after which it is computed anew
	paceTokens = 32                     // tokens of an answer after which it asks for the capacity
	tokenMost  = 51 * time.Millisecond  // longest time between two tokens at p95 that the design allows
	holdTime   = 30 * time.Second       // time in which slots held after a loss fall by 63 %
	longFactor = 4.0                    // a request this much longer than the mean of its model is long
)

// Capacity tells what the targets can do.
type Capacity interface {
	Bound(w bergamotroute.Want, limit time.Duration) bergamotroute.Bound
	Expect(w bergamotroute.Want) (token time.Duration, ok bool)
}

// Queue lets requests for pipelines wait for a slot, in an order that is fair between workspaces.
type Queue struct {
	Clock    bergamotqueue.Clock
	Capacity Capacity
	Lengths  *bergamotadmission.Lengths
	Peers    bergamotadmission.Peers
	Most     int           // most requests that wait for one model
	Age      time.Duration // wait after which a request counts as one priority higher

	mu    sync.Mutex
	lanes map[string]*lane
}

// lane is the queue for one model.
type lane struct {
	gate  *bergamotqueue.Gate
	paced time.Time
	slots float64 // held after a loss
	flow  flow
}

// models separates the mean length of a model from those of pipelines in the estimator.
const models = "model "

// Name returns "queue".
func (f *Queue) Name() string { return "queue" }

// Filter refuses a request at once when the queue is full or its deadline cannot be met; it was not run then.
func (f *Queue) Filter(ctx context.Context, x *bergamotchain.Exchange, next bergamotchain.Handler) error {
	if x.Request().Kind() == bergamotrequest.KindService {
		return next.Handle(ctx, x)
	}
	gate, job := f.Prepare(x)
	if err := gate.Enter(ctx, job); err != nil {
		return f.refuse(err)
	}
	want := wanted(x)
	flow := f.flow(x.Pipeline().Model().Name())
	m := &meter{Sink: x.Sink(), note: func(tokens int) {
		flow.add(f.Clock.Now())
		if tokens%paceTokens == 0 {
			f.gate(want, f.Clock.Now())
		}
		if tokens == int(longFactor*job.Cost())+1 {
			gate.Overrun(job)
		}
	}}
	x.SetSink(m)
	defer func() {
		// Requests that already wait need the learned capacity as much as new ones do.
		f.gate(want, f.Clock.Now())
		gate.Leave(job, float64(m.tokens))
	}()
	err := next.Handle(ctx, x)
	if err == nil {
		f.Lengths.Observe(models+x.Pipeline().Model().Name(), "", m.tokens)
	}
	return err
}

// Waiting returns how many requests wait for a model.
func (f *Queue) Waiting(model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.lanes[model]; ok {
		return l.gate.Waiting()
	}
	return 0
}

// Prepare returns the queue of an exchange and its job, which has not asked for a slot yet.
func (f *Queue) Prepare(x *bergamotchain.Exchange) (*bergamotqueue.Gate, *bergamotqueue.Job) {
	p, w, now := x.Pipeline(), x.Workspace(), f.Clock.Now()
	want := wanted(x)
	gate := f.gate(want, now)
	cost := f.Lengths.Expect(p.Name(), w.Name(), min(x.Request().MaxTokens(), p.MaxAnswerTokens()))
	latest := x.Deadline()
	if token, ok := f.Capacity.Expect(want); ok {
		latest = latest.Add(-time.Duration(cost * float64(token)))
	}
	class := bergamotqueue.ClassShort
	if cost > longFactor*f.Lengths.Typical(models+p.Model().Name()) {
		class = bergamotqueue.ClassLong
	}
	return gate, bergamotqueue.NewJob(bergamotqueue.Spec{
		Workspace: w.Name(), Weight: w.Weight(), Priority: p.Priority(), Class: class, Cost: cost, Arrived: now, Latest: latest,
	})
}

// wanted returns the path that any request for the pipeline needs.
func wanted(x *bergamotchain.Exchange) bergamotroute.Want {
	return bergamotroute.Want{Pipeline: x.Pipeline(), Fleet: x.View().Fleet(), Bundle: x.View().Bundle()}
}

// gate returns the queue of a model with its current capacity.
func (f *Queue) gate(w bergamotroute.Want, now time.Time) *bergamotqueue.Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lanes == nil {
		f.lanes = map[string]*lane{}
	}
	name := w.Pipeline.Model().Name()
	l, ok := f.lanes[name]
	if !ok {
		l = &lane{gate: bergamotqueue.NewGate(f.Clock, f.Most, f.Age)}
		f.lanes[name] = l
	}
	if !ok || now.Sub(l.paced) >= paceAge {
		l.gate.SetPace(f.held(l, w, now))
		l.paced = now
	}
	return l.gate
}

// held returns the capacity, where slots that a loss takes away go slowly. The token time of Pace is half of what the
// deadline allows, and that reserve lets the remaining targets carry larger batches for a while.
func (f *Queue) held(l *lane, w bergamotroute.Want, now time.Time) bergamotqueue.Pace {
	p := f.Pace(w)
	decay := math.Exp(-float64(now.Sub(l.paced)) / float64(holdTime))
	if kept := l.slots * decay; kept > p.Slots {
		most := f.Capacity.Bound(w, 2*p.Token).Slots() / float64(max(f.Peers.Live(), 1))
		kept = max(min(kept, most), p.Slots)
		p.Token = time.Duration(float64(p.Token) * kept / p.Slots)
		p.Slots = kept
	}
	l.slots = p.Slots
	return p
}

// Pace returns the capacity of the entry for a pipeline: it divides the slots of the best bound between the entries and applies the weights of the policy: recovery keeps
// slots free for the work of lost targets, blocking keeps room for short work, and peak service demands more certainty
// that a deadline is met.
func (f *Queue) Pace(w bergamotroute.Want) bergamotqueue.Pace {
	p := w.Pipeline
	token := TokenTime(p)
	slots := f.Capacity.Bound(w, token).Slots() / float64(max(f.Peers.Live(), 1))
	recovery, crest, blocking := weights(w.Bundle.Policy())
	return bergamotqueue.Pace{
		Slots: slots * (1 - 0.2*recovery), Token: token, Room: 0.1 + 0.4*blocking, Margin: 1 + crest,
	}
}

// TokenTime returns the time of one token that is planned for a pipeline: half of what the deadline allows for the
// longest answer, and at most what the design allows.
func TokenTime(p bergamotbundle.Pipeline) time.Duration {
	return min(p.Deadline()/time.Duration(2*p.MaxAnswerTokens()), tokenMost)
}

// weights returns the weights of the policy relative to their sum.
func weights(p bergamotbundle.Policy) (recovery, crest, blocking float64) {
	sum := p.Throughput() + p.Recovery() + p.Peak() + p.Blocking()
	if sum <= 0 {
		return 0, 0, 0
	}
	return p.Recovery() / sum, p.Peak() / sum, p.Blocking() / sum
}

// Rate returns the tokens a second that callers of a model got lately.
func (f *Queue) Rate(model string) float64 { return f.flow(model).rate(f.Clock.Now()) }

func (f *Queue) flow(model string) *flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l, ok := f.lanes[model]; ok {
		return &l.flow
	}
	return &flow{}
}

func (f *Queue) refuse(err error) error {
	switch {
	case errors.Is(err, bergamotqueue.ErrFull):
		return bergamotrequest.Refuse(bergamotrequest.ReasonFull, "the queue is full").WithRetryAfter(time.Second)
	case errors.Is(err, bergamotqueue.ErrDeadline), errors.Is(err, context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline cannot be met").WithRetryAfter(time.Second)
	default:
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away")
	}
}
