package bergamotentry

import "time"

// FetchText exposes fetchText, which asks the given peers in their order.
var FetchText = fetchText

// SetPlacementTimes gives tests shorter times of the placement controller; it must be called before Init.
func (e *Entry) SetPlacementTimes(term, margin, renewPeriod, reconcilePeriod time.Duration) {
	e.timing = placementTimes{term: term, margin: margin, renewPeriod: renewPeriod, reconcilePeriod: reconcilePeriod}
}
