package bergamotsession

import (
	"context"
	"errors"
	"maps"
	"time"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// answer is the state that the attempts of one answer share.
type answer struct {
	session   *Session
	x         *bergamotchain.Exchange
	tokens    []int
	number    int // of the last attempt
	ran       bergamotrequest.RunState
	dead      map[string]bool // instances known to have failed this answer
	doubtful  map[string]bool // instances of failed paths of which one failed
	stale     map[string]bool // instances that did not hold what they had reported
	source    *attempt        // the latest attempt that delivered a token; its spans are kept for imports
	recompute bool            // an import failed
}

func (g *answer) run(ctx context.Context) error {
	var last error
	for failures := 0; failures < g.session.Attempts; {
		content := g.x.ContentDigest()
		if g.session.Suspects.Confirmed(content) {
			return bergamotrequest.Refuse(bergamotrequest.ReasonSuspect, "targets failed each time they ran this request").WithRun(g.ran)
		}
		alone := g.session.Suspects.Suspect(content)
		a, leave, err := g.prepare(ctx, alone, failures)
		if err != nil {
			return g.refuse(ctx, err)
		}
		if a == nil {
			break
		}
		if g.session.Suspects.Confirmed(content) {
			// It was confirmed while this attempt waited for its instances.
			leave()
			continue
		}
		last = a.run(ctx)
		if last != nil && ctx.Err() == nil && errors.Is(last, errStall) {
			last = a.diagnose(ctx, last)
		}
		g.record(a)
		if last == nil {
			leave()
			g.session.Suspects.Clear(content)
			g.session.cancel(ctx, a)
			return nil
		}
		g.keep(ctx, a)
		if refusal := g.ended(ctx, last); refusal != nil {
			leave()
			return refusal
		}
		g.session.Counter.Count("retry." + string(reasonOf(last)))
		failures += g.blame(ctx, a, last, alone)
		leave()
	}
	if last == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no path covers all layers of %s", g.x.Pipeline().Model().Name()).WithRetryAfter(time.Second)
	}
	return g.refuse(ctx, last)
}

// prepare returns the next attempt, nil when there is no path, and what releases its instances.
func (g *answer) prepare(ctx context.Context, alone bool, failures int) (a *attempt, leave func(), err error) {
	plan, ok := g.find()
	if !ok {
		return nil, nil, nil
	}
	if err = g.charge(ctx, plan, failures); err != nil {
		g.session.Router.Finish(plan)
		return nil, nil, err
	}
	claims := plan.Instances()
	if alone {
		// Copies of one suspect run one after the other, else each of them could take down a target.
		content := g.x.ContentDigest()
		claims = append(claims, string(content[:]))
	}
	left, err := g.session.Isolation.Enter(ctx, claims, alone)
	if err != nil {
		g.session.Router.Finish(plan)
		return nil, nil, err
	}
	leave = func() {
		left()
		g.session.Router.Finish(plan)
	}
	return g.attempt(plan), leave, nil
}

// find returns a path, if need be for another version of the model or through instances whose reports were stale.
func (g *answer) find() (plan bergamotroute.Plan, ok bool) {
	if plan, ok = g.route(); ok || len(g.tokens) > 0 {
		return plan, ok
	}
	g.settleVersion()
	if plan, ok = g.route(); ok || len(g.stale) == 0 {
		return plan, ok
	}
	// Newer reports may show what these instances hold now.
	clear(g.stale)
	g.settleVersion()
	return g.route()
}

// settleVersion takes the version that the remaining instances hold, since reports lag while a new version is loaded.
// An answer with a token keeps its version: another one would continue it with other weights.
func (g *answer) settleVersion() {
	p, fleet := g.x.Pipeline(), g.session.Views.View().Fleet()
	g.x.SetPipeline(p.WithVersion(g.session.Versions.Without(g.x.View().Bundle(), p, fleet, g.avoid())))
}

// avoid returns the instances that the next attempt must not use.
func (g *answer) avoid() map[string]bool {
	if len(g.stale) == 0 {
		return g.dead
	}
	out := maps.Clone(g.dead)
	maps.Copy(out, g.stale)
	return out
}

// charge counts an attempt against the retry budgets. The first recovery is free: it adds at most one attempt to each
// request in flight, and a budget of a tenth of the requests would end most streams of a lost instance.
func (g *answer) charge(ctx context.Context, plan bergamotroute.Plan, failures int) error {
	workspace := g.x.Workspace().Name()
	if g.number == 0 {
		g.session.Retries.RecordFirst(workspace, plan.Instances()...)
	}
	if failures <= 1 {
		return nil
	}
	return g.session.Retries.Wait(ctx, workspace, failures-1, g.x.Deadline(), plan.Instances()...)
}

// route prefers paths without doubtful instances and without those on which a suspect runs alone.
func (g *answer) route() (plan bergamotroute.Plan, ok bool) {
	w := bergamotroute.Want{
		Pipeline: g.x.Pipeline(), Fleet: g.session.Views.View().Fleet(), Bundle: g.x.View().Bundle(), Avoid: g.avoid(),
		Tokens: g.limit() - len(g.tokens), Prompt: g.x.Request().Prompt(),
	}
	held := g.session.Isolation.Held()
	if len(held)+len(g.doubtful) > 0 {
		w.Avoid = maps.Clone(w.Avoid)
		maps.Copy(w.Avoid, held)
		maps.Copy(w.Avoid, g.doubtful)
		if plan, ok = g.session.Router.Route(w); ok {
			return plan, true
		}
		w.Avoid = g.avoid()
	}
	return g.session.Router.Route(w)
}

func (g *answer) limit() int { return min(g.x.Request().MaxTokens(), g.x.Pipeline().MaxAnswerTokens()) }

func (g *answer) attempt(plan bergamotroute.Plan) *attempt {
	g.number++
	r, p := g.x.Request(), g.x.Pipeline()
	a := &attempt{
		session: g.session, x: g.x, plan: plan, tokens: &g.tokens,
		prefix: NewPrefix(r.Prompt(), g.tokens, g.limit(), r.Seed()),
	}
	spec := SpanSpec{
		Session: r.ID(), Attempt: g.number, Model: p.Model().Name(), Version: p.Model().Version(),
		Adapter: p.Adapter(), Start: len(g.tokens), Plan: plan,
	}
	for i := range plan.Stages() {
		a.spans = append(a.spans, NewSpan(spec, i))
	}
	if g.source != nil && !g.recompute {
		e, position := g.session.Estimate, len(g.tokens)-1
		live := func(name string) bool { return !g.dead[name] }
		a.imports = pulls(e, plan, g.source.spans, live, e.Tokens(r.Prompt())+position, p.Model().HiddenStateBytes(), position)
	}
	g.x.AddPath(plan.Instances()...)
	return a
}

// record notes what is known about whether the request ran.
func (g *answer) record(a *attempt) {
	if a.started {
		g.ran = bergamotrequest.RunUnknown
	}
	if len(g.tokens) > 0 {
		g.ran = bergamotrequest.RunYes
	}
}

// keep retains the spans of an attempt as a source of imports, or cancels them.
func (g *answer) keep(ctx context.Context, a *attempt) {
	if a.advanced() {
		g.replaceSource(ctx, a)
		return
	}
	g.session.cancel(ctx, a)
}

func (g *answer) replaceSource(ctx context.Context, a *attempt) {
	if g.source != nil {
		g.session.cancel(ctx, g.source)
	}
	g.source = a
}

// blame excludes the instance that failed, or doubts the whole path when it is not known which one did. It
// returns 1 when the failure counts against the limit of attempts.
func (g *answer) blame(ctx context.Context, a *attempt, err error, alone bool) int {
	var imported importError
	if errors.As(err, &imported) {
		// The old stages may be gone; the answer is then recomputed and nobody is blamed.
		g.recompute = true
		return 0
	}
	var stage *StageError
	known := errors.As(err, &stage)
	for _, s := range a.plan.Stages() {
		switch {
		case !known:
			g.doubtful[s.Instance()] = true
		case s.Address() == stage.Address() && errors.Is(err, ErrSpan) && !a.started:
			g.stale[s.Instance()] = true
		case s.Address() == stage.Address():
			g.dead[s.Instance()] = true
			g.observe(ctx, a, s, err, alone)
		}
	}
	return 1
}

// observe reports a failed instance to the control loop and to the attribution of failures.
func (g *answer) observe(ctx context.Context, a *attempt, s bergamotroute.Stage, err error, alone bool) {
	if errors.Is(err, ErrLeaving) {
		g.session.Observer.Leaving(s.Instance())
		return
	}
	failed := true
	if a.started {
		failed, err = a.crashed(ctx, s.Address(), err)
	}
	if errors.Is(err, ErrRefused) {
		g.session.Observer.Refused(s.Instance())
	}
	// A request is not the cause when it never ran on the instance.
	if a.started && failed {
		g.session.Suspects.Strike(g.x.ContentDigest(), s.Instance(), alone)
	}
}

// ended returns a refusal when no further attempt makes sense.
func (g *answer) ended(ctx context.Context, err error) *bergamotrequest.Refusal {
	var caller callerError
	switch {
	case errors.As(err, &caller), errors.Is(ctx.Err(), context.Canceled):
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away").WithRun(g.ran)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline passed").WithRun(g.ran)
	default:
		return nil
	}
}

func (g *answer) refuse(ctx context.Context, err error) *bergamotrequest.Refusal {
	if refusal := g.ended(ctx, err); refusal != nil {
		return refusal
	}
	return bergamotrequest.Refuse(reasonOf(err), "no attempt succeeded: %s", err).WithRun(g.ran).WithRetryAfter(time.Second)
}
