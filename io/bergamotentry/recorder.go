package bergamotentry

import (
	"time"

	"bergamotspur/core/bergamothealth"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
)

// attemptRecorder passes token times to the router and outcomes of attempts to the health tracker.
type attemptRecorder struct {
	clock  bergamotsession.Clock
	router *bergamotroute.Router
	health *bergamothealth.Tracker
}

// RecordTokenTime passes the mean time per token on the path of p to the router.
func (r *attemptRecorder) RecordTokenTime(p bergamotroute.Plan, token time.Duration) {
	r.router.Observe(p, token)
}

// RecordFailure records a failure of the instance of p with that address, or of all of them when it is empty.
func (r *attemptRecorder) RecordFailure(p bergamotroute.Plan, address string) {
	for _, s := range p.Stages() {
		if address == "" || s.Address() == address {
			r.health.Failed(s.Instance(), r.clock.Now())
		}
	}
}

// RecordSuccess records a successful attempt for all instances of p.
func (r *attemptRecorder) RecordSuccess(p bergamotroute.Plan) {
	for _, s := range p.Stages() {
		r.health.Succeeded(s.Instance(), r.clock.Now())
	}
}
