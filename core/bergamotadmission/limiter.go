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
	burstSeconds       = 2.0             // burst of a workspace, in seconds of its rate
	demandTimeConstant = 5 * time.Second // time in which the measured demand adapts to 63 % of a change
	idleTimeout        = time.Minute     // time after which unused usage records are dropped; their balance is full by then
)

// Limiter enforces the share of this entry in the limits of workspaces.
type Limiter struct {
	Peers Peers

	mu         sync.Mutex
	workspaces map[string]*usage
	lastSweep  time.Time
}

// usage tracks the recent usage of a workspace.
type usage struct {
	requests    *rate.Limiter
	tokens      bucket
	demand      float64
	lastRequest time.Time
}

// NewLimiter returns a limiter for an entry without peers.
func NewLimiter() *Limiter { return &Limiter{Peers: NoPeers{}, workspaces: map[string]*usage{}} }

// Admit charges one request and its expected tokens to a workspace. It returns an empty reason if the request may run,
// otherwise the exhausted limit and when to retry.
func (l *Limiter) Admit(now time.Time, w bergamotbundle.Workspace, tokens float64) (reason bergamotrequest.Reason, retryAfter time.Duration) {
	share := Share(l.Peers, w.Name())
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(now, w.Name())
	u.addRequest(now)
	requestRate, tokenRate := w.RequestRate()*share, w.TokenRate()*share
	requestBurst := int(math.Max(1, math.Min(requestRate*burstSeconds, math.MaxInt32)))
	if u.requests == nil {
		u.requests = rate.NewLimiter(rate.Limit(requestRate), requestBurst)
	}
	if u.requests.Limit() != rate.Limit(requestRate) {
		u.requests.SetLimitAt(now, rate.Limit(requestRate))
		u.requests.SetBurstAt(now, requestBurst)
	}
	u.tokens.refill(now, tokenRate, tokenRate*burstSeconds)
	if tokens > 0 && u.tokens.balance <= 0 {
		return bergamotrequest.ReasonTokens, u.tokens.wait(tokenRate)
	}
	if !u.requests.AllowN(now, 1) {
		return bergamotrequest.ReasonRate, time.Duration(float64(time.Second) / requestRate)
	}
	u.tokens.balance -= tokens
	return "", 0
}

// ChargeTokens charges a workspace for tokens generated beyond the expected ones; a negative number is a credit.
func (l *Limiter) ChargeTokens(now time.Time, workspace string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage(now, workspace).tokens.balance -= tokens
}

// Demand returns the requests per second of a workspace at this entry, including refused ones.
func (l *Limiter) Demand(now time.Time, workspace string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.workspaces[workspace]
	if !ok {
		return 0
	}
	return u.demandAt(now)
}

// DemandByWorkspace returns the requests per second of each workspace that used this entry recently, including refused
// ones.
func (l *Limiter) DemandByWorkspace(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.workspaces))
	for name, u := range l.workspaces {
		out[name] = u.demandAt(now)
	}
	return out
}

func (l *Limiter) usage(now time.Time, name string) *usage {
	if now.Sub(l.lastSweep) > idleTimeout {
		l.lastSweep = now
		for n, u := range l.workspaces {
			if now.Sub(u.lastRequest) > idleTimeout && u.tokens.balance >= 0 {
				delete(l.workspaces, n)
			}
		}
	}
	u, ok := l.workspaces[name]
	if !ok {
		u = &usage{lastRequest: now}
		l.workspaces[name] = u
	}
	return u
}

// demandAt returns the measured demand, which decays since the last request.
func (u *usage) demandAt(now time.Time) float64 {
	return u.demand * math.Exp(-float64(now.Sub(u.lastRequest))/float64(demandTimeConstant))
}

// addRequest adds a request to the measured demand.
func (u *usage) addRequest(now time.Time) {
	u.demand = u.demandAt(now) + 1/demandTimeConstant.Seconds()
	u.lastRequest = now
}
