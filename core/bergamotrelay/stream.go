package bergamotrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

const (
	// pathWait is how long a request waits for a path. Repairs of the layers take about a second, and a caller gives
	// a stream up that is silent for two.
	pathWait = 1200 * time.Millisecond
	// pathPoll is the time between two looks for a path; a look costs some microseconds.
	pathPoll    = 40 * time.Millisecond
	learnEvents = 10 // events from which an attempt tells the speed of its path
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
	// TakePart allows a retry only while a part of the budget is not used up.
	TakePart(service string, part float64) bool
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
		if ok && s.probeBottleneck(p, v) {
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
		Tokens: s.x.Request().Tokens(), Avoid: s.avoid, Entries: v.EntryCount(),
	}
}

// probeBottleneck asks the runner of a path whose memory may be used up for its report, unless one is known that is fresh, and
// tells whether it did. A report costs a hundredth of a request; a rejection costs an arrival of the retry budget.
func (s *stream) probeBottleneck(p bergamotroute.Plan, v *bergamotcluster.View) bool {
	name, address, ok := s.handler.Router.Bottleneck(p, s.want(v))
	if !ok {
		return false
	}
	r, err := s.handler.Watch.ask(address)
	if err != nil {
		return false
	}
	s.handler.Router.Observe(name, r.UsedMemory())
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
	w := h.Watch.begin(watchSpec{
		request: s.x.Request().ID(), plan: p, allowed: s.x.Route().Gap(), leave: s.leave(), cancel: cancel,
	})
	defer w.end()
	a, err := h.Upstream.Open(ctx, Attempt{
		request: s.x.Request(), runner: first.Instance(), address: first.Address(), plan: p,
		workspace: s.x.Workspace().Name(), left: s.x.Deadline().Sub(h.Clock.Now()), position: s.last,
		priority: s.priority(),
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
			w.receive()
			if err := s.x.Sink().Events(events); err != nil {
				return NewFailure(bergamotrequest.RunYes, bergamotrequest.ReasonCancel, err)
			}
			w.sent()
			s.last = max(s.last, last)
			s.x.Trace().Answered(h.Clock.Now(), a.Status())
		}
		if errors.Is(err, io.EOF) {
			w.finished()
			return nil
		}
		if err != nil {
			return cause(ctx, err)
		}
	}
}

// priority returns the rank of an attempt. A stream that the caller reads already goes first: its pause must be shorter
// than the wait of a new one.
func (s *stream) priority() int {
	if s.started {
		return 0
	}
	return s.x.Priority()
}

// leave returns what takes the right to go on at another path while an attempt is under way, nil when the route does not
// allow it.
func (s *stream) leave() func() bool {
	if !s.x.Route().Repeatable() || !s.maySend(s.ran+1) {
		return nil
	}
	return func() bool { return s.handler.Budget.Take(s.x.Service().Name()) }
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
