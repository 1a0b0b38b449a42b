package bergamotrelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotroute"
)

const (
	// checkPeriod is the time between two checks of an attempt that has no event yet.
	checkPeriod = 130 * time.Millisecond
	// suspectedDelay is the idle time after which a runner of the path is asked for its report if another attempt failed
	// there.
	suspectedDelay = 120 * time.Millisecond
	// probeDelay is the idle time after which the first runner is asked what the attempt waits for. The first event
	// takes about 45 ms at low load, and about 100 ms behind long prompts.
	probeDelay = 250 * time.Millisecond
	// pathReportTimeout is how long the runners of a path may take for their reports when a stream pauses; a runner
	// that takes longer counts as dead. A report takes 2 ms. The rest of the allowed pause must suffice for a failover
	// to another path.
	pathReportTimeout = 25 * time.Millisecond
	// reportTimeout is how long a runner may take for its report before it counts as unresponsive.
	reportTimeout = 250 * time.Millisecond
)

// StallDetector detects attempts that wait for a dead runner. The platform closes such connections only after callers
// have given up.
type StallDetector struct {
	Clock    Clock
	Reporter bergamotcluster.Reporter
	// IsSuspected reports whether another attempt failed at a runner. That is a reason to ask the runner and no more: it may
	// have rejected a request or closed a connection, and still answer the others.
	IsSuspected func(runner string) bool

	pauseStats      pauseStats // pauses between two events
	firstEventStats pauseStats // times to the first event
	mu              sync.Mutex
	queries         map[string]*reportQuery
}

// reportQuery is a request for a runner's report, shared by all attempts that wait for it.
type reportQuery struct {
	done      chan struct{}
	startedAt time.Time
	report    bergamotcluster.Report
	err       error
}

// isSilent reports whether the error of a report shows that the runner does not answer. One that resets the connection, for
// instance because it has as many as it allows, is alive.
func isSilent(err error) bool { return err != nil && !errors.Is(err, bergamotcluster.ErrReportRefused) }

// findUnresponsive requests the reports of all runners of a path and returns the address of a runner that does not
// answer.
func (d *StallDetector) findUnresponsive(p bergamotroute.Plan) (address string, found bool) {
	queries := make([]*reportQuery, len(p.Stages()))
	for n, s := range p.Stages() {
		queries[n] = d.reportQuery(s.Address())
	}
	timeout := d.Clock.After(pathReportTimeout)
	for n, q := range queries {
		select {
		case <-q.done:
		case <-timeout:
			timeout = closedChan
		}
		if !q.hasAnswer() {
			return p.Stages()[n].Address(), true
		}
	}
	return "", false
}

// closedChan is always ready to receive from.
var closedChan = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

// hasAnswer reports whether the runner has answered.
func (q *reportQuery) hasAnswer() bool {
	select {
	case <-q.done:
		return !isSilent(q.err)
	default:
		return false
	}
}

// fetchReport returns the report of a runner.
func (d *StallDetector) fetchReport(address string) (bergamotcluster.Report, error) {
	q := d.reportQuery(address)
	<-q.done
	return q.report, q.err
}

// reportQuery returns the query to a runner that was started within the last checkPeriod, or starts a new one.
func (d *StallDetector) reportQuery(address string) *reportQuery {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queries == nil {
		d.queries = map[string]*reportQuery{}
	}
	now := d.Clock.Now()
	if q, ok := d.queries[address]; ok && now.Sub(q.startedAt) <= checkPeriod {
		return q
	}
	q := &reportQuery{done: make(chan struct{}), startedAt: now}
	d.queries[address] = q
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		q.report, q.err = d.Reporter.Report(ctx, address)
		close(q.done)
	}()
	return q
}
