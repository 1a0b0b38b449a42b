package bergamotentry

import (
	"time"

	"bergamotspur/core/bergamothealth"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
)

// observer hands what attempts show to the router and the health tracker.
type observer struct {
	clock  bergamotsession.Clock
	router *bergamotroute.Router
	health *bergamothealth.Tracker
}

// RecordTokenTime passes the mean time of a token to the router.
func (o *observer) RecordTokenTime(p bergamotroute.Plan, token time.Duration) {
	o.router.Observe(p, token)
}

// RecordFailure records a failure of the instance with that address, or of all when it is empty.
func (o *observer) RecordFailure(p bergamotroute.Plan, address string) {
	for _, s := range p.Stages() {
		if address == "" || s.Address() == address {
			o.health.Failed(s.Instance(), o.clock.Now())
		}
	}
}

// RecordSuccess records a finished attempt.
func (o *observer) RecordSuccess(p bergamotroute.Plan) {
	for _, s := range p.Stages() {
		o.health.Succeeded(s.Instance(), o.clock.Now())
	}
}
