package bergamotrelay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotsuspect"
)

const (
	// quarantineRetryAfter is the Retry-After time of a request on which runners crash. It is refused until the failures
	// expire, but callers with a sound request should learn soon when it is admitted again.
	quarantineRetryAfter = time.Minute
	// defaultIsolationWait is how long a suspect waits for another one where the route has no target latency.
	defaultIsolationWait = 500 * time.Millisecond
	// repeatDelay is the time after a crash in which the same request is not sent again, unless others show
	// that the parts of its prompt are not the cause.
	repeatDelay        = 10 * time.Second
	repeatPollInterval = 40 * time.Millisecond
)

// Suspects attributes failures of runners to the contents of requests.
type Suspects interface {
	Len() int
	IsSuspect(contents ...bergamotsuspect.Digest) bool
	MustRunAlone(contents ...bergamotsuspect.Digest) bool
	IsRepeat(d time.Duration, contents ...bergamotsuspect.Digest) bool
	IsConfirmed(contents ...bergamotsuspect.Digest) bool
	RecordFailure(contents []bergamotsuspect.Digest, instance string, alone bool)
	RecordUnstarted(contents []bergamotsuspect.Digest, instance string, alone bool)
	Clear(contents ...bergamotsuspect.Digest)
}

// Isolation lets suspects run one after another.
type Isolation interface {
	Acquire(ctx context.Context, keys []string, alone bool) (release func(), err error)
}

// Quarantine is the filter that refuses requests on which runners crash. Handlers report to it how attempts end, and run
// those requests one after another that may be refused.
type Quarantine struct {
	Clock     Clock
	Suspects  Suspects
	Isolation Isolation
	Reporter  bergamotcluster.Reporter
	// AreLinksDoubtful reports whether this entry may have lost its links, so that a runner that does not answer need not have crashed.
	AreLinksDoubtful func() bool

	mu       sync.Mutex
	checks   map[string]*crashCheck // in progress, by process
	suspects map[string][]*trial    // suspects that wait for their answers, by process
	sound    soundContents
}

// Name returns "quarantine".
func (q *Quarantine) Name() string { return "quarantine" }

// Filter refuses a request whose contents are confirmed to make runners crash.
func (q *Quarantine) Filter(ctx context.Context, x *Exchange, next Handler) error {
	if q.isConfirmed(x) {
		return refuseQuarantined()
	}
	return next.Handle(ctx, x)
}

func (q *Quarantine) isConfirmed(x *Exchange) bool {
	return q.Suspects.Len() > 0 && q.Suspects.IsConfirmed(x.Contents()...)
}

func refuseQuarantined() *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(bergamotrequest.ReasonSuspect, "runners crashed each time they ran this request or a part of its prompt").
		WithRetryAfter(quarantineRetryAfter)
}

// trial is a request that may be the next one on which a runner crashes.
type trial struct {
	quarantine *Quarantine
	x          *Exchange
	suspect    atomic.Bool // a failure is attributed to a content of the request
	release    func()      // lets the next suspect run, nil if none has to wait
	// unstarted are the crashes of runners that had not begun to answer. They are recorded unless another runner answers:
	// each crash breaks off many requests that only waited, and most of them are answered elsewhere.
	unstarted []unstartedCrash
	// process is where the suspect waits for its answer, empty for nowhere; shared is whether another suspect has done so at
	// the same time. Both are guarded by the lock of the quarantine.
	process string
	shared  bool
}

// unstartedCrash is the crash of a runner before it began to answer a request.
type unstartedCrash struct {
	process string
	alone   bool // the request was a suspect when it was sent, and no other suspect was there
}

// begin waits until no other request with the same suspect contents runs at this entry. It returns a
// *bergamotrequest.Refusal if that takes too long, or if the contents have been confirmed meanwhile.
func (q *Quarantine) begin(ctx context.Context, x *Exchange) (t *trial, err error) {
	t = &trial{quarantine: q, x: x}
	if q.Suspects.Len() == 0 || !q.Suspects.IsSuspect(x.Contents()...) {
		return t, nil
	}
	t.suspect.Store(true)
	wait := x.Route().TargetLatency()
	if wait <= 0 {
		wait = defaultIsolationWait
	}
	if !q.waitCleared(ctx, x, wait) {
		return nil, refuseSuspect(ctx, x, "a runner has just crashed on this request", retryDelay(x, q.Clock.Now()))
	}
	if !q.Suspects.MustRunAlone(x.Contents()...) {
		return t, nil
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if t.release, err = q.Isolation.Acquire(bounded, suspectKeys(x.Contents()), true); err != nil {
		return nil, refuseSuspect(ctx, x, "another request with the same suspect content is running", defaultRetryAfter)
	}
	if q.isConfirmed(x) {
		t.end()
		return nil, refuseQuarantined()
	}
	if !q.Suspects.MustRunAlone(x.Contents()...) {
		t.end()
	}
	return t, nil
}

// refuseSuspect returns the refusal of a suspect that has not been sent.
func refuseSuspect(ctx context.Context, x *Exchange, why string, retryAfter time.Duration) error {
	if ctx.Err() != nil {
		return refuseEnded(ctx)
	}
	x.Trace().AddStep("not sent, since it is suspect")
	return bergamotrequest.Refuse(bergamotrequest.ReasonSuspect, "%s", why).WithRetryAfter(retryAfter)
}

// waitCleared waits while a request repeats one on which a runner has just crashed, and reports whether it may be sent.
func (q *Quarantine) waitCleared(ctx context.Context, x *Exchange, wait time.Duration) bool {
	end := q.Clock.Now().Add(wait)
	for q.Suspects.IsRepeat(repeatDelay, x.Contents()...) {
		if !q.Clock.Now().Before(end) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-q.Clock.After(repeatPollInterval):
		}
	}
	return true
}

func suspectKeys(contents []bergamotsuspect.Digest) (keys []string) {
	for _, d := range contents {
		keys = append(keys, string(d[:]))
	}
	return keys
}

// answered records that the runner has begun to answer, so that the request does not make runners crash.
func (t *trial) answered() {
	t.unstarted = nil
	t.quarantine.sound.add(t.x.Contents(), t.quarantine.Clock.Now())
	if t.quarantine.Suspects.Len() > 0 {
		t.quarantine.Suspects.Clear(t.x.Contents()...)
	}
	t.end()
}

// checkCrash checks whether a runner that broke off before it answered has crashed, and if so attributes that to the request. It
// reports whether it did. wasSuspect is whether the request was a suspect when it was sent.
func (t *trial) checkCrash(ctx context.Context, i bergamotfleet.Instance, wasSuspect bool) bool {
	if !t.quarantine.hasCrashed(ctx, i) {
		return false // it has only closed the connection
	}
	// A process crashes once, so that its start time tells its failures from those of the next one.
	contents := t.unsoundContents(i.Process())
	if len(contents) == 0 {
		return false
	}
	t.quarantine.Suspects.RecordFailure(contents, i.Process(), wasSuspect)
	t.suspect.Store(true)
	return true
}

// checkUnstarted checks whether a runner that broke off before it began to answer has crashed. If so, and if the request is
// not answered by another runner, the crash is attributed to the request as one that may only have waited there.
func (t *trial) checkUnstarted(ctx context.Context, i bergamotfleet.Instance) {
	if t.quarantine.hasCrashed(ctx, i) {
		t.addUnstarted(i.Process())
	}
}

// addUnstarted attributes the crash of a process before it began to answer.
func (t *trial) addUnstarted(process string) {
	wasSuspect := t.suspect.Swap(true)
	t.unstarted = append(t.unstarted, unstartedCrash{process: process, alone: wasSuspect && t.isAlone(process)})
	if wasSuspect {
		t.recordUnstarted() // before the next attempt
	}
}

func (t *trial) recordUnstarted() {
	for _, c := range t.unstarted {
		t.quarantine.Suspects.RecordUnstarted(t.unsoundContents(c.process), c.process, c.alone)
	}
	t.unstarted = nil
}

// unsoundContents returns the contents that may be the cause of the crash of a process.
func (t *trial) unsoundContents(process string) []bergamotsuspect.Digest {
	return t.quarantine.sound.unsound(t.x.Contents(), process, t.quarantine.Clock.Now())
}

// finish ends the trial of a request without a further attempt.
func (t *trial) finish() {
	t.recordUnstarted()
	t.end()
}

// end lets the next suspect run.
func (t *trial) end() {
	t.leave()
	if t.release != nil {
		t.release()
		t.release = nil
	}
}
