package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	// pathWait is how long a request waits for a path. Repairs of the layers take about a second, and a caller gives
	// a stream up that is silent for two.
	pathWait = 1200 * time.Millisecond
	// pathPoll is the time between two looks for a path; a look costs some microseconds.
	pathPoll = 40 * time.Millisecond
	// extraSends are the attempts beyond those that the route allows to run: runners that rejected the request do not
	// count. One whose connection broke may have run it to the end.
	extraSends  = 3
	learnEvents = 10 // events from which an attempt tells the speed of its path
	// avoidTime keeps work from a runner that rejected a request until its check or its list entry tells more.
	avoidTime = 300 * time.Millisecond
)

// Clock tells the time and wakes a waiting goroutine.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Budget allows requests to be sent once more.
type Budget interface {
	First(service string)
	Take(service string) bool
}

// Observer hears of runners that fail. It never blocks.
type Observer interface {
	Failed(runner, why string)
}

// Views gives the newest control state.
type Views interface {
	View() *bergamotcluster.View
}

// Stream is the handler for requests whose answer is a stream of a model. A stream that breaks off goes on at
// another path after the last event that the caller got, where the route allows it.
type Stream struct {
	Clock    Clock
	Upstream Upstream
	Router   *bergamotpath.Router
	Views    Views
	Budget   Budget
	Observer Observer
	Watch    *Watch
}

// stream is the progress of one exchange.
type stream struct {
	handler *Stream
	x       *Exchange
	started bool            // the caller has the head of the answer
	last    int             // last event that the caller has, -1 for none
	ran     int             // runners that may have run the request to their end
	sends   int             // attempts so far
	avoid   map[string]bool // runners that failed this request
	failure *Failure        // of the last attempt
}

// Handle sends the request over a path and passes the events on.
func (h *Stream) Handle(ctx context.Context, x *Exchange) error {
	s := &stream{handler: h, x: x, last: x.Request().Position(), avoid: map[string]bool{}}
	h.Budget.First(x.Service().Name())
	for {
		plan, ok := s.plan(ctx)
		if !ok {
			return s.refuse(ctx)
		}
		began, before := h.Clock.Now(), x.Trace().Events()
		err := s.attempt(ctx, plan)
		h.Router.Finish(plan, x.Request().Tokens())
		s.learn(plan, x.Trace().Events()-before, h.Clock.Now().Sub(began))
		if err == nil {
			return nil
		}
		s.failure = asFailure(err)
		s.note(plan)
		if ctx.Err() != nil || !s.mayRepeat() {
			return s.refuse(ctx)
		}
	}
}

// plan waits for a path.
func (s *stream) plan(ctx context.Context) (p bergamotroute.Plan, ok bool) {
	h := s.handler
	until := h.Clock.Now().Add(pathWait)
	for {
		v := h.Views.View()
		p, ok = h.Router.Route(s.want(v))
		if ok && s.pressed(p, v) {
			// Other entries have filled a runner of the path, or a runner is close to it: choose again.
			h.Router.Finish(p, s.x.Request().Tokens())
			p, ok = h.Router.Route(s.want(v))
		}
		if ok || !h.Clock.Now().Before(until) {
			return p, ok
		}
		// A runner that failed this request may be the only one left that holds its layers.
		s.avoid = map[string]bool{}
		select {
		case <-ctx.Done():
			return p, false
		case <-h.Clock.After(pathPoll):
		}
	}
}

// learn tells the router how long the events of an attempt took. Short attempts say more about their end than about
// the path.
func (s *stream) learn(p bergamotroute.Plan, events int, took time.Duration) {
	if events < learnEvents {
		return
	}
	if i, ok := s.handler.Views.View().Fleet().Instance(p.Stages()[0].Instance()); ok {
		s.handler.Router.Learn(i.DataCentre(), took/time.Duration(events))
	}
}

func (s *stream) want(v *bergamotcluster.View) bergamotpath.Want {
	return bergamotpath.Want{
		Engine: s.x.Service().Engine(), Service: s.x.Service().Name(), Fleet: v.Fleet(),
		Tokens: s.x.Request().Tokens(), Avoid: s.avoid, Entries: v.Entries(),
	}
}

// pressed asks the runner of a path whose memory may be used up for its report, unless one is known that is fresh, and
// tells whether it did. A report costs a hundredth of a request; a rejection costs an arrival of the retry budget.
func (s *stream) pressed(p bergamotroute.Plan, v *bergamotcluster.View) bool {
	name, address, ok := s.handler.Router.Pressed(p, s.want(v))
	if !ok {
		return false
	}
	r, err := s.handler.Watch.ask(address)
	if err != nil {
		return false
	}
	s.handler.Router.Observe(name, r.Used())
	return true
}

// attempt sends the request over a path and passes on what comes, until the stream ends.
func (s *stream) attempt(ctx context.Context, p bergamotroute.Plan) (err error) {
	h := s.handler
	first := p.Stages()[0]
	s.sends++
	s.x.Trace().Sent(describe(p))
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w := h.Watch.begin(s.x.Request().ID(), p, cancel)
	defer w.end()
	a, err := h.Upstream.Open(ctx, Attempt{
		request: s.x.Request(), runner: first.Instance(), address: first.Address(), plan: p,
		workspace: s.x.Workspace().Name(), left: s.x.Deadline().Sub(h.Clock.Now()), position: s.last,
		priority: s.x.Priority(),
	})
	if err != nil {
		return cause(ctx, err)
	}
	defer a.Close()
	if a.Status() != http.StatusOK {
		return s.pass(a)
	}
	if !s.started {
		if err = s.x.Sink().Start(a.Status(), a.Fields()); err != nil {
			return NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonCancel, err)
		}
		s.started = true
	}
	for {
		events, last, err := a.Next()
		if len(events) > 0 {
			w.progress()
			if err := s.x.Sink().Events(events); err != nil {
				return NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonCancel, err)
			}
			s.last = max(s.last, last)
			s.x.Trace().Answered(h.Clock.Now(), a.Status())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cause(ctx, err)
		}
	}
}

// pass hands an answer on that is no stream, as the runner gave it.
func (s *stream) pass(a Answer) error {
	body, err := a.Body()
	if err != nil {
		return err
	}
	if s.started {
		return NewFailure(bergamotrequest.RunUnknown, bergamotrequest.ReasonTarget, fmt.Errorf("status %d on a continued stream", a.Status()))
	}
	s.x.Trace().Answered(s.handler.Clock.Now(), a.Status())
	return s.x.Sink().Reply(a.Status(), a.Fields(), body)
}

// note tells the parts that choose runners about a failed attempt.
func (s *stream) note(p bergamotroute.Plan) {
	f := s.failure
	s.x.Trace().Add(f.Error())
	if f.reason == bergamotrequest.ReasonCancel || f.reason == bergamotrequest.ReasonDeadline {
		return
	}
	if f.run != bergamotrequest.RunNo {
		s.ran++
	}
	name := p.Stages()[0].Instance()
	for _, stage := range p.Stages() {
		if stage.Address() == f.fault {
			name = stage.Instance()
		}
	}
	s.avoid[name] = true
	if f.reason == bergamotrequest.ReasonFull && s.full(p, name) {
		return
	}
	s.handler.Router.Avoid(name, avoidTime)
	s.handler.Observer.Failed(name, f.Error())
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
		s.handler.Router.Observe(name, r.Used())
		s.x.Trace().Add(fmt.Sprintf("%s holds %.0f token-layers", name, r.Used()))
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
	case s.ran >= s.x.Route().Attempts() || s.sends >= s.x.Route().Attempts()+extraSends:
		return false
	case !s.handler.Budget.Take(s.x.Service().Name()):
		s.x.Trace().Add("no retry budget")
		return false
	}
	return true
}

// refuse returns why there is no answer, or no whole one.
func (s *stream) refuse(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away").Ran(s.run())
	}
	if s.failure == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no path covers all layers").RetryAfter(after())
	}
	r := bergamotrequest.Refuse(s.failure.reason, "%s", s.failure.Error()).Ran(s.run())
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r = bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the time is over").Ran(s.run())
	}
	return r.RetryAfter(after())
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

// after returns a time for the next try of a caller, spread so that refused callers do not come back together.
func after() time.Duration { return retryAfter + rand.N(retryAfter) }

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
