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

// answer produces one answer through attempts and holds the state that they share.
type answer struct {
	session     *Session
	x           *bergamotchain.Exchange
	tokens      []int
	lastAttempt int                      // number of the last attempt
	ran         bergamotrequest.RunState // whether the request ran, as refusals report it

	failed         map[string]bool // instances known to have failed during this answer
	possiblyFailed map[string]bool // instances of a path that failed at an unknown instance
	stale          map[string]bool // instances that did not hold the layers that they had reported
	importSource   *attempt        // latest attempt that delivered a token; its spans are kept as sources of imports
	recompute      bool            // an import failed, so that further attempts recompute all KV cache
}

func (ans *answer) run(ctx context.Context) error {
	var lastErr error
	for failures := 0; failures < ans.session.MaxAttempts; {
		content := ans.x.ContentDigest()
		if ans.session.Suspects.IsConfirmed(content) {
			return bergamotrequest.Refuse(bergamotrequest.ReasonSuspect, "targets failed each time they ran this request").WithRun(ans.ran)
		}
		alone := ans.session.Suspects.IsSuspect(content)
		a, release, err := ans.prepareAttempt(ctx, alone, failures)
		if err != nil {
			return ans.refuse(ctx, err)
		}
		if a == nil {
			break
		}
		if ans.session.Suspects.IsConfirmed(content) {
			// It became confirmed while this attempt waited for its instances.
			release()
			continue
		}
		lastErr = a.run(ctx)
		if lastErr != nil && ctx.Err() == nil && errors.Is(lastErr, errStall) {
			lastErr = a.findHungStage(ctx, lastErr)
		}
		ans.updateRan(a)
		if lastErr == nil {
			release()
			ans.session.Suspects.Clear(content)
			ans.session.cancelSpans(ctx, a)
			return nil
		}
		ans.keepOrCancel(ctx, a)
		if refusal := ans.finalRefusal(ctx, lastErr); refusal != nil {
			release()
			return refusal
		}
		ans.session.Counter.Count("retry." + string(reasonOf(lastErr)))
		failures += ans.excludeFailed(ctx, a, lastErr, alone)
		release()
	}
	if lastErr == nil {
		return bergamotrequest.Refuse(bergamotrequest.ReasonPath, "no path covers all layers of %s", ans.x.Pipeline().Model().Name()).WithRetryAfter(time.Second)
	}
	return ans.refuse(ctx, lastErr)
}

// prepareAttempt returns the next attempt, nil when there is no path, and a function that releases its instances.
func (ans *answer) prepareAttempt(ctx context.Context, alone bool, failures int) (a *attempt, release func(), err error) {
	plan, ok := ans.findPath()
	if !ok {
		return nil, nil, nil
	}
	if err = ans.chargeRetryBudget(ctx, plan, failures); err != nil {
		ans.session.Router.Release(plan)
		return nil, nil, err
	}
	keys := plan.Instances()
	if alone {
		// The content is reserved as well, so that duplicates of a suspect run one after another: at the same time,
		// each of them could crash a target.
		content := ans.x.ContentDigest()
		keys = append(keys, string(content[:]))
	}
	releaseInstances, err := ans.session.Isolation.Acquire(ctx, keys, alone)
	if err != nil {
		ans.session.Router.Release(plan)
		return nil, nil, err
	}
	release = func() {
		releaseInstances()
		ans.session.Router.Release(plan)
	}
	return ans.newAttempt(plan), release, nil
}

// findPath returns a path. When there is none and the answer has no token yet, it tries another version of the model,
// and after that the instances whose reports were stale.
func (ans *answer) findPath() (plan bergamotroute.Plan, ok bool) {
	if plan, ok = ans.route(); ok || len(ans.tokens) > 0 {
		return plan, ok
	}
	ans.updateVersion()
	if plan, ok = ans.route(); ok || len(ans.stale) == 0 {
		return plan, ok
	}
	// Newer reports may show what these instances hold now.
	clear(ans.stale)
	ans.updateVersion()
	return ans.route()
}

// updateVersion selects the version that the remaining instances hold, since reports lag while a new version is loaded.
// It is not called once the answer has a token: another version would continue it with different weights.
func (ans *answer) updateVersion() {
	p, fleet := ans.x.Pipeline(), ans.session.Views.View().Fleet()
	ans.x.SetPipeline(p.WithVersion(ans.session.Versions.VersionAvoiding(ans.x.View().Bundle(), p, fleet, ans.excluded())))
}

// excluded returns the instances that the next attempt must not use.
func (ans *answer) excluded() map[string]bool {
	if len(ans.stale) == 0 {
		return ans.failed
	}
	out := maps.Clone(ans.failed)
	maps.Copy(out, ans.stale)
	return out
}

// chargeRetryBudget charges an attempt to the retry budgets. The first retry is free: it adds at most one attempt to
// each request in flight, while a budget of a tenth of the requests would end most streams on a lost instance.
func (ans *answer) chargeRetryBudget(ctx context.Context, plan bergamotroute.Plan, failures int) error {
	workspace := ans.x.Workspace().Name()
	if ans.lastAttempt == 0 {
		ans.session.Retries.RecordFirst(workspace, plan.Instances()...)
	}
	if failures <= 1 {
		return nil
	}
	return ans.session.Retries.Wait(ctx, workspace, failures-1, ans.x.Deadline(), plan.Instances()...)
}

// route prefers paths without instances that may have failed and without those reserved for suspects.
func (ans *answer) route() (plan bergamotroute.Plan, ok bool) {
	w := bergamotroute.Query{
		Pipeline: ans.x.Pipeline(), Fleet: ans.session.Views.View().Fleet(), Bundle: ans.x.View().Bundle(), Avoid: ans.excluded(),
		Tokens: ans.maxTokens() - len(ans.tokens), Prompt: ans.x.Request().Prompt(),
	}
	reserved := ans.session.Isolation.Reserved()
	if len(reserved)+len(ans.possiblyFailed) > 0 {
		w.Avoid = maps.Clone(w.Avoid)
		maps.Copy(w.Avoid, reserved)
		maps.Copy(w.Avoid, ans.possiblyFailed)
		if plan, ok = ans.session.Router.Route(w); ok {
			return plan, true
		}
		w.Avoid = ans.excluded()
	}
	return ans.session.Router.Route(w)
}

func (ans *answer) maxTokens() int {
	return min(ans.x.Request().MaxTokens(), ans.x.Pipeline().MaxAnswerTokens())
}

func (ans *answer) newAttempt(plan bergamotroute.Plan) *attempt {
	ans.lastAttempt++
	r, p := ans.x.Request(), ans.x.Pipeline()
	a := &attempt{
		session: ans.session, x: ans.x, plan: plan, tokens: &ans.tokens,
		prefix: NewPrefix(r.Prompt(), ans.tokens, ans.maxTokens(), r.Seed()),
	}
	spec := SpanSpec{
		Session: r.ID(), Attempt: ans.lastAttempt, Model: p.Model().Name(), Version: p.Model().Version(),
		Adapter: p.Adapter(), Start: len(ans.tokens), Plan: plan,
	}
	for i := range plan.Stages() {
		a.spans = append(a.spans, NewSpan(spec, i))
	}
	if ans.importSource != nil && !ans.recompute {
		e, position := ans.session.Estimate, len(ans.tokens)-1
		isLive := func(name string) bool { return !ans.failed[name] }
		a.imports = planImports(e, plan, ans.importSource.spans, isLive, e.PromptTokens(r.Prompt())+position, p.Model().HiddenStateBytes(), position)
	}
	ans.x.AddPath(plan.Instances()...)
	return a
}

// updateRan records whether the request ran or may have run, as refusals report it.
func (ans *answer) updateRan(a *attempt) {
	if a.started {
		ans.ran = bergamotrequest.RunUnknown
	}
	if len(ans.tokens) > 0 {
		ans.ran = bergamotrequest.RunYes
	}
}

// keepOrCancel keeps the spans of an attempt that delivered a token as sources of imports, and cancels any others.
func (ans *answer) keepOrCancel(ctx context.Context, a *attempt) {
	if a.hasDelivered() {
		ans.replaceImportSource(ctx, a)
		return
	}
	ans.session.cancelSpans(ctx, a)
}

func (ans *answer) replaceImportSource(ctx context.Context, a *attempt) {
	if ans.importSource != nil {
		ans.session.cancelSpans(ctx, ans.importSource)
	}
	ans.importSource = a
}

// excludeFailed excludes the instance that failed from further attempts; when it is not known which one failed, route
// avoids the whole path if it can. It returns 1 when the failure counts against the limit of attempts, else 0.
func (ans *answer) excludeFailed(ctx context.Context, a *attempt, err error, alone bool) int {
	var importErr importError
	if errors.As(err, &importErr) {
		// The sources of the import may be gone; the next attempt recomputes, and no instance is excluded.
		ans.recompute = true
		return 0
	}
	var stageErr *StageError
	isKnown := errors.As(err, &stageErr)
	for _, s := range a.plan.Stages() {
		switch {
		case !isKnown:
			ans.possiblyFailed[s.Instance()] = true
		case s.Address() == stageErr.Address() && errors.Is(err, ErrSpanRejected) && !a.started:
			ans.stale[s.Instance()] = true
		case s.Address() == stageErr.Address():
			ans.failed[s.Instance()] = true
			ans.reportFailure(ctx, a, s, err, alone)
		}
	}
	return 1
}

// reportFailure reports a failed instance to the observer and, when the request ran there, to the suspects.
func (ans *answer) reportFailure(ctx context.Context, a *attempt, s bergamotroute.Stage, err error, alone bool) {
	if errors.Is(err, ErrLeaving) {
		ans.session.Observer.Leaving(s.Instance())
		return
	}
	failed := true
	if a.started {
		failed, err = a.confirmFailure(ctx, s.Address(), err)
	}
	if errors.Is(err, ErrConnectionRefused) {
		ans.session.Observer.Refused(s.Instance())
	}
	// A request that never ran on the instance cannot be the cause.
	if a.started && failed {
		ans.session.Suspects.RecordFailure([][32]byte{ans.x.ContentDigest()}, s.Instance(), alone)
	}
}

// finalRefusal returns a refusal when the caller is gone or the deadline has passed, nil when a retry makes sense.
func (ans *answer) finalRefusal(ctx context.Context, err error) *bergamotrequest.Refusal {
	var caller callerError
	switch {
	case errors.As(err, &caller), errors.Is(ctx.Err(), context.Canceled):
		return bergamotrequest.Refuse(bergamotrequest.ReasonCancel, "the caller went away").WithRun(ans.ran)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return bergamotrequest.Refuse(bergamotrequest.ReasonDeadline, "the deadline passed").WithRun(ans.ran)
	default:
		return nil
	}
}

func (ans *answer) refuse(ctx context.Context, err error) *bergamotrequest.Refusal {
	if refusal := ans.finalRefusal(ctx, err); refusal != nil {
		return refusal
	}
	return bergamotrequest.Refuse(reasonOf(err), "no attempt succeeded: %s", err).WithRun(ans.ran).WithRetryAfter(time.Second)
}
