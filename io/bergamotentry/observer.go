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

// Observe learns from the mean time of a token.
func (o *observer) Observe(p bergamotroute.Plan, token time.Duration) { o.router.Observe(p, token) }

// Failed records a failure of the instance with that address, or of all when it is empty.
func (o *observer) Failed(p bergamotroute.Plan, address string) {
	for _, s := range p.Stages() {
		if address == "" || s.Address() == address {
			o.health.Failed(s.Instance(), o.clock.Now())
		}
	}
}

// Succeeded records a finished attempt.
func (o *observer) Succeeded(p bergamotroute.Plan) {
	for _, s := range p.Stages() {
		o.health.Succeeded(s.Instance(), o.clock.Now())
	}
}
