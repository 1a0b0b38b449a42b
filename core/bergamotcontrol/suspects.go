package bergamotcontrol

import (
	"time"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamotsuspect"
)

// strikeLife is the age at which a strike is no longer passed on; it is the life of a record at each entry.
const strikeLife = time.Hour

// maxStrikes bounds the strikes of one pass; confirmed contents come first.
const maxStrikes = 256

// SuspectLedger keeps which requests make targets fail.
type SuspectLedger interface {
	Export() []bergamotsuspect.Record
	Merge(records []bergamotsuspect.Record)
}

// Suspects is the controller that exchanges the requests that make targets fail with the other entries.
type Suspects struct {
	Ledger SuspectLedger
	Node   *bergamotmember.Node

	next time.Time
	seen *bergamotmember.Picture
}

// Name returns "suspects".
func (c *Suspects) Name() string { return "suspects" }

// Reconcile merges what others reported and reports what this entry knows.
func (c *Suspects) Reconcile(s *State) []Task {
	if p := s.Members(); p != nil && p != c.seen {
		c.seen = p
		c.merge(p)
	}
	if !s.Now().Before(c.next) {
		c.next = s.Now().Add(surveyPeriod)
		c.report(s.Now())
	}
	return nil
}

func (c *Suspects) merge(p *bergamotmember.Picture) {
	var records []bergamotsuspect.Record
	for _, crash := range p.Crashes() {
		// The age follows from the lifetime that is left, so that no two clocks are compared.
		if r, ok := bergamotsuspect.DecodeFailure(crash.Key(), crash.Data(), strikeLife-crash.Left()); ok {
			records = append(records, r)
		}
	}
	c.Ledger.Merge(records)
}

func (c *Suspects) report(now time.Time) {
	count := 0
	for _, r := range c.Ledger.Export() {
		for _, strike := range r.Failures() {
			if count++; count > maxStrikes {
				return
			}
			if left := strikeLife - strike.Age(); left > 0 {
				key, data := bergamotsuspect.EncodeFailure(r.Digest(), strike)
				c.Node.ReportCrash(now, key, data, left)
			}
		}
	}
}
