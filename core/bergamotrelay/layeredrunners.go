package bergamotrelay

import (
	"fmt"
	"slices"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotpath"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
)

// LayeredRunners chooses paths over runners that hold the layers of a model, with memory for the tokens of each request.
type LayeredRunners struct {
	Clock    Clock
	Router   *bergamotpath.Router
	Views    Views
	Reports  *StallDetector // shares the reports of runners that it has asked for
	Observer Observer
}

func (r *LayeredRunners) query(x *Exchange, avoid map[string]bool) bergamotpath.Query {
	v := r.Views.View()
	return bergamotpath.Query{
		Engine: x.Service().Engine(), Service: x.Service().Name(), Fleet: v.Fleet(),
		Tokens: x.Request().Tokens(), Answer: x.Request().AnswerTokens(), Avoid: avoid, Entries: v.EntryCount(),
	}
}

func (r *LayeredRunners) reserve(x *Exchange, avoid map[string]bool) (p bergamotroute.Plan, ok bool) {
	q := r.query(x, avoid)
	p, ok = r.Router.Route(q)
	if ok && r.probeFullestRunner(p, q) {
		// A runner of the path is at or near its memory limit, possibly because of other entries: search again with its current report.
		r.Router.Withdraw(p, q)
		p, ok = r.Router.Route(q)
	}
	return p, ok
}

func (r *LayeredRunners) withdraw(x *Exchange, p bergamotroute.Plan) {
	r.Router.Withdraw(p, r.query(x, nil))
}

func (r *LayeredRunners) release(x *Exchange, p bergamotroute.Plan) {
	r.Router.Release(p, x.Request().Tokens())
}

func (r *LayeredRunners) atLimit(x *Exchange, avoid map[string]bool) (process string, ok bool) {
	return r.Router.AtLimit(r.query(x, avoid))
}

// recordFailure reports the runner at fault to the router and the observer, unless it rejected the attempt because its memory is full.
func (r *LayeredRunners) recordFailure(p bergamotroute.Plan, f *Failure) (step string) {
	name := runnerAt(p, f.faultAddress)
	if f.reason == bergamotrequest.ReasonFull {
		if used, ok := r.checkMemoryFull(p, name); ok {
			return fmt.Sprintf("%s holds %.0f token-layers", name, used)
		}
	}
	r.Router.Avoid(name, avoidDuration)
	r.Observer.RunnerFailed(name, f.Error())
	return ""
}

// maxWait allows the time in which layers are repaired.
func (r *LayeredRunners) maxWait() time.Duration { return maxRunnerWait }

func (r *LayeredRunners) unavailable() (reason bergamotrequest.Reason, text string) {
	return bergamotrequest.ReasonPath, "no path covers all layers"
}

func (r *LayeredRunners) returnIn(x *Exchange) time.Duration { return retryDelay(x, r.Clock.Now()) }

// probeFullestRunner fetches the report of the runner of a path whose memory may be full, unless a recent report is
// known, and reports whether it did. A report costs a hundredth of a request, while a rejection costs a retry from the
// budget.
func (r *LayeredRunners) probeFullestRunner(p bergamotroute.Plan, q bergamotpath.Query) bool {
	name, address, ok := r.Router.FullestRunner(p, q)
	if !ok {
		return false
	}
	report, err := r.Reports.fetchReport(address)
	if err != nil {
		return false
	}
	r.Router.RecordUsage(name, report.UsedMemory())
	return true
}

// checkMemoryFull reports whether a runner rejected the request because its memory is full. If so, it returns the memory in use by all
// entries, in tokens times layers, and passes it to the router. Any other cause of a rejection calls for a health check of the runner.
func (r *LayeredRunners) checkMemoryFull(p bergamotroute.Plan, name string) (used float64, ok bool) {
	for _, stage := range p.Stages() {
		if stage.Instance() != name {
			continue
		}
		report, err := r.Reports.fetchReport(stage.Address())
		if err != nil || !coversStage(report.Holdings(), stage) || !report.Full() {
			return 0, false
		}
		r.Router.RecordUsage(name, report.UsedMemory())
		return report.UsedMemory(), true
	}
	return 0, false
}

// coversStage reports whether the holdings include all layers of a stage.
func coversStage(holdings []bergamotfleet.Holding, s bergamotroute.Stage) bool {
	return slices.ContainsFunc(holdings, func(h bergamotfleet.Holding) bool { return h.From() <= s.From() && s.To() <= h.To() })
}
