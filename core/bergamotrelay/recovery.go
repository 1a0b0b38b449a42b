package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	// extraSends are the attempts beyond those that the route allows to run: runners that rejected the request do not
	// count. One whose connection broke may have run it to the end.
	extraSends = 3
	// beginPart is the part of the retry budget for requests that have no answer yet. The rest is for streams that break off:
	// their callers lose what they have read, while a refused caller may come back.
	beginPart = 0.7
	// comeBackShare is the least part of the time left after which a refused caller may come back; the most is twice that.
	comeBackShare = 0.05
	// avoidTime keeps work from a runner that rejected a request until its check or its list entry tells more.
	avoidTime = 300 * time.Millisecond
)

// note tells the parts that choose runners about a failed attempt.
func (s *stream) note(p bergamotroute.Plan) {
	f := s.failure
	name := atFault(p, f)
	s.x.Trace().Fail(name, f)
	if f.reason == bergamotrequest.ReasonCancel || f.reason == bergamotrequest.ReasonDeadline {
		return
	}
	if f.run != bergamotrequest.RunNo {
		s.ran++
	}
	s.avoid[name] = true
	if f.reason == bergamotrequest.ReasonFull && s.full(p, name) {
		return
	}
	s.handler.Router.Avoid(name, avoidTime)
	s.handler.Observer.Failed(name, f.Error())
}

// atFault returns the name of the runner of a path that a failure blames, the first one when it names none.
func atFault(p bergamotroute.Plan, f *Failure) string {
	for _, stage := range p.Stages() {
		if stage.Address() == f.fault {
			return stage.Instance()
		}
	}
	return p.Stages()[0].Instance()
}

// full finds out whether a runner rejected the request for want of memory, and lets the router know what the requests
// of all entries hold there. Any other cause needs a check of the runner.
func (s *stream) full(p bergamotroute.Plan, name string) bool {
	for _, stage := range p.Stages() {
		if stage.Instance() != name {
			continue
		}
		r, err := s.handler.Watch.ask(stage.Address())
		if err != nil || !holds(r.Holdings(), stage) || !r.Full() {
			return false
		}
		s.handler.Router.Observe(name, r.UsedMemory())
		s.x.Trace().Add(fmt.Sprintf("%s holds %.0f token-layers", name, r.UsedMemory()))
		return true
	}
	return false
}

// holds tells whether a runner has all layers of a stage.
func holds(holdings []bergamotfleet.Holding, s bergamotroute.Stage) bool {
	return slices.ContainsFunc(holdings, func(h bergamotfleet.Holding) bool { return h.From() <= s.From() && s.To() <= h.To() })
}

// mayRepeat tells whether the request may go to one more path.
func (s *stream) mayRepeat() bool {
	f := s.failure
	switch {
	case f.reason == bergamotrequest.ReasonCancel || f.reason == bergamotrequest.ReasonDeadline:
		return false
	case f.run != bergamotrequest.RunNo && !s.x.Route().Repeatable():
		return false
	case !s.maySend(s.ran):
		return false
	case f.allowed:
		return true
	case !s.handler.Budget.TakePart(s.x.Service().Name(), s.part()):
		s.x.Trace().Add("no retry budget")
		return false
	}
	return true
}

// part returns the part of the retry budget that a further attempt may use.
func (s *stream) part() float64 {
	if s.started {
		return 1
	}
	return beginPart
}

// maySend tells whether the route allows one more attempt after some that may have run to their end.
func (s *stream) maySend(ran int) bool {
	return ran < s.x.Route().Attempts() && s.sends < s.x.Route().Attempts()+extraSends
}

// refuse returns why there is no answer, or no whole one.
func (s *stream) refuse(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away").Ran(s.run())
	}
	if s.failure == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no path covers all layers").RetryAfter(comeBack(s.x, s.handler.Clock.Now()))
	}
	r := bergamotrequest.Refuse(s.failure.reason, "%s", s.failure.Error()).Ran(s.run())
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r = bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the time is over").Ran(s.run())
	}
	return r.RetryAfter(comeBack(s.x, s.handler.Clock.Now()))
}

// run tells whether any attempt may have run the request.
func (s *stream) run() bergamotrequest.Run {
	if s.started {
		return bergamotrequest.RunYes
	}
	if s.ran > 0 || s.failure != nil && s.failure.run != bergamotrequest.RunNo {
		return bergamotrequest.RunUnknown
	}
	return bergamotrequest.RunNo
}

// comeBack returns a time for the next try of a caller that found no runner with room for it. A caller has few tries, and a
// data centre that lacks layers needs some seconds for them, so that the time grows with what is left of the request's.
// It is spread so that refused callers do not come back together.
func comeBack(x *Exchange, now time.Time) time.Duration {
	least := max(time.Duration(comeBackShare*float64(x.Deadline().Sub(now))), time.Millisecond)
	return least + rand.N(least)
}

// cause returns why a context was cancelled by the watch, or the error itself.
func cause(ctx context.Context, err error) error {
	var f *Failure
	if errors.As(context.Cause(ctx), &f) {
		return f
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonDeadline, err)
	}
	if ctx.Err() != nil {
		return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonCancel, err)
	}
	return err
}

func describe(p bergamotroute.Plan) string {
	var b strings.Builder
	for _, s := range p.Stages() {
		fmt.Fprintf(&b, "%s=%d-%d ", s.Instance(), s.From(), s.To())
	}
	return strings.TrimSpace(b.String())
}
