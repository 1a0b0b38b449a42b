package bergamotsuspect

import "time"

// maxFailures bounds the failures kept for a content; two can confirm it, and more add no information.
const maxFailures = 4

// localFailure is a Failure whose time is that of this entry's clock.
type localFailure struct {
	instance string
	alone    bool
	at       time.Time
}

// history holds the failures that are attributed to one content.
type history struct {
	digest      Digest
	failures    []localFailure
	confirmed   bool
	lastFailure time.Time
}

// add records a failure unless it is already known: duplicates of a request on the same instance, and the exchange of
// records between entries, report one failure several times. A failure while the request ran alone is never the same
// as one while others ran there, since a request runs alone only after an earlier failure made it a suspect.
func (h *history) add(f localFailure, duplicateWindow time.Duration) {
	for _, known := range h.failures {
		if known.instance == f.instance && known.alone == f.alone && f.at.Sub(known.at).Abs() < duplicateWindow {
			return
		}
	}
	if len(h.failures) == maxFailures {
		return
	}
	h.failures = append(h.failures, f)
	if f.at.After(h.lastFailure) {
		h.lastFailure = f.at
	}
	h.updateConfirmed()
}

// updateConfirmed marks a content as confirmed after two failures, at least one of them while its request ran alone.
// Without the second condition, the loss of a rack would confirm every common prompt that ran on two of its instances.
func (h *history) updateConfirmed() {
	for _, f := range h.failures {
		if f.alone && len(h.failures) > 1 {
			h.confirmed = true
		}
	}
}
