package bergamotsuspect

import "time"

// maxStrikes bounds a record; two strikes confirm, and more say nothing new.
const maxStrikes = 4

// incident is a strike with the time of this entry's clock.
type incident struct {
	instance string
	alone    bool
	at       time.Time
}

// entry is the incidents of one content.
type entry struct {
	digest    Digest
	incidents []incident
	confirmed bool
	at        time.Time // of the last incident
}

// add records an incident unless it is one that is already known: copies of a request that ran on the same
// instance, or an exchange of records, report the same failure more than once. A failure with the request
// alone is never the one that made it a suspect.
func (e *entry) add(i incident, window time.Duration) {
	for _, old := range e.incidents {
		if old.instance == i.instance && old.alone == i.alone && i.at.Sub(old.at).Abs() < window {
			return
		}
	}
	if len(e.incidents) == maxStrikes {
		return
	}
	e.incidents = append(e.incidents, i)
	if i.at.After(e.at) {
		e.at = i.at
	}
	e.judge()
}

// judge confirms a content after two failures of which one hit it alone. Without that condition the loss of
// a rack would confirm every common prompt that ran on two of its instances.
func (e *entry) judge() {
	for _, i := range e.incidents {
		if i.alone && len(e.incidents) > 1 {
			e.confirmed = true
		}
	}
}
