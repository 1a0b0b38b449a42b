package bergamotrelay

import (
	"context"
	"sync"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotroute"
)

const (
	// lookPeriod is the time between two looks at an attempt that has no event yet.
	lookPeriod = 130 * time.Millisecond
	// knownGap is the wait after which an attempt leaves a path on which another one found a dead runner.
	knownGap = 120 * time.Millisecond
	// askGap is the wait after which the first runner is asked what the attempt waits for. A calm stream begins after
	// some 45 ms, one behind long prompts after some 100 ms.
	askGap = 250 * time.Millisecond
	// answerTime is how long the runners of a path on which a stream pauses may take for their reports before one of them
	// counts as dead. A report takes two milliseconds; what is left of the allowed pause must suffice for another path.
	answerTime = 25 * time.Millisecond
	// askTime is how long a runner may take for its report before it counts as silent.
	askTime = 250 * time.Millisecond
)

// Watch notices attempts that wait for a dead runner. The platform cuts them off only after a time that is longer
// than callers are willing to wait.
type Watch struct {
	Clock    Clock
	Reporter bergamotcluster.Reporter
	Avoided  func(runner string) bool // tells whether a runner is known not to answer

	pauses pauses
	mu     sync.Mutex
	asked  map[string]*question
}

// question is a report of a runner that several attempts wait for.
type question struct {
	done   chan struct{}
	at     time.Time
	report bergamotcluster.Report
	err    error
}

// unanswered asks all runners of a path and returns the address of one that does not answer.
func (w *Watch) unanswered(p bergamotroute.Plan) (address string, found bool) {
	questions := make([]*question, len(p.Stages()))
	for n, s := range p.Stages() {
		questions[n] = w.question(s.Address())
	}
	late := w.Clock.After(answerTime)
	for n, q := range questions {
		select {
		case <-q.done:
		case <-late:
			late = closed
		}
		if !q.answered() {
			return p.Stages()[n].Address(), true
		}
	}
	return "", false
}

// closed is always ready.
var closed = func() <-chan time.Time {
	c := make(chan time.Time)
	close(c)
	return c
}()

// answered tells whether the report has come.
func (q *question) answered() bool {
	select {
	case <-q.done:
		return q.err == nil
	default:
		return false
	}
}

// ask returns the report of a runner; attempts that wait for the same runner share one question.
func (w *Watch) ask(address string) (bergamotcluster.Report, error) {
	q := w.question(address)
	<-q.done
	return q.report, q.err
}

// question returns the question to a runner that is under way or was answered lately, or a new one.
func (w *Watch) question(address string) *question {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asked == nil {
		w.asked = map[string]*question{}
	}
	now := w.Clock.Now()
	if q, ok := w.asked[address]; ok && now.Sub(q.at) <= lookPeriod {
		return q
	}
	q := &question{done: make(chan struct{}), at: now}
	w.asked[address] = q
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), askTime)
		defer cancel()
		q.report, q.err = w.Reporter.Report(ctx, address)
		close(q.done)
	}()
	return q
}
