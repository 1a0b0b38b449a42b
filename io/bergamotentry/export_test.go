package bergamotentry

import "time"

// FetchText gives tests the choice between peers.
var FetchText = fetchText

// SetLease gives tests shorter times of the placement controller; it must be called before Init.
func (e *Entry) SetLease(term, margin, renew, pass time.Duration) {
	e.times = leaseTimes{term: term, margin: margin, renew: renew, pass: pass}
}
