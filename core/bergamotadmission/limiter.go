package bergamotadmission

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrequest"
)

const (
	burst  = 2.0             // seconds of a workspace's rate that may pass at once
	memory = 5 * time.Second // time in which the measured demand follows a change to 63 %
	idle   = time.Minute     // time after which an unused record is dropped; its balance is full by then
)

// Limiter holds the limits of workspaces at one entry.
type Limiter struct {
	Peers Peers

	mu         sync.Mutex
	workspaces map[string]*usage
	swept      time.Time
}

// usage is what a workspace used lately.
type usage struct {
	requests *rate.Limiter
	tokens   bucket
	demand   float64
	at       time.Time
}

// NewLimiter returns a limiter for an entry without peers.
func NewLimiter() *Limiter { return &Limiter{Peers: Alone{}, workspaces: map[string]*usage{}} }

// Admit takes one request and its expected tokens from the workspace's limits. It returns no reason when the request
// may run, or which limit is used up and when to try again.
func (l *Limiter) Admit(now time.Time, w bergamotbundle.Workspace, tokens float64) (reason bergamotrequest.Reason, after time.Duration) {
	share := Share(l.Peers, w.Name())
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(now, w.Name())
	u.note(now)
	requests, limit := w.RequestRate()*share, w.TokenRate()*share
	most := int(math.Max(1, math.Min(requests*burst, math.MaxInt32)))
	if u.requests == nil {
		u.requests = rate.NewLimiter(rate.Limit(requests), most)
	}
	if u.requests.Limit() != rate.Limit(requests) {
		u.requests.SetLimitAt(now, rate.Limit(requests))
		u.requests.SetBurstAt(now, most)
	}
	u.tokens.refill(now, limit, limit*burst)
	if tokens > 0 && u.tokens.balance <= 0 {
		return bergamotrequest.ReasonTokens, u.tokens.wait(limit)
	}
	if !u.requests.AllowN(now, 1) {
		return bergamotrequest.ReasonRate, time.Duration(float64(time.Second) / requests)
	}
	u.tokens.balance -= tokens
	return "", 0
}

// Settle charges tokens that were generated beyond the expected ones; a negative number returns them.
func (l *Limiter) Settle(now time.Time, workspace string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage(now, workspace).tokens.balance -= tokens
}

// Demand returns the requests a second that a workspace asks for at this entry, refused ones included.
func (l *Limiter) Demand(now time.Time, workspace string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.workspaces[workspace]
	if !ok {
		return 0
	}
	return u.demandAt(now)
}

// Demands returns the requests a second of each workspace that used this entry lately, refused ones included.
func (l *Limiter) Demands(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.workspaces))
	for name, u := range l.workspaces {
		out[name] = u.demandAt(now)
	}
	return out
}

func (l *Limiter) usage(now time.Time, name string) *usage {
	if now.Sub(l.swept) > idle {
		l.swept = now
		for n, u := range l.workspaces {
			if now.Sub(u.at) > idle && u.tokens.balance >= 0 {
				delete(l.workspaces, n)
			}
		}
	}
	u, ok := l.workspaces[name]
	if !ok {
		u = &usage{at: now}
		l.workspaces[name] = u
	}
	return u
}

// demandAt returns the measured demand, which fades since the last request.
func (u *usage) demandAt(now time.Time) float64 {
	return u.demand * math.Exp(-float64(now.Sub(u.at))/float64(memory))
}

// note adds one request to the measured demand.
func (u *usage) note(now time.Time) {
	u.demand = u.demandAt(now) + 1/memory.Seconds()
	u.at = now
}
