package bergamotcontrol

import (
	"time"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamotsuspect"
)

// failureLifetime is the age from which a failure is no longer sent to other entries. It equals the lifetime of a
// record at each entry.
const failureLifetime = time.Hour

// maxFailuresPerPass limits the failures that one pass reports; those of confirmed contents come first.
const maxFailuresPerPass = 256

// SuspectLedger stores which requests make targets fail.
type SuspectLedger interface {
	Export() []bergamotsuspect.Failure
	Merge(failures []bergamotsuspect.Failure)
}

// Suspects is the controller that exchanges with the other entries which requests make targets fail.
type Suspects struct {
	Ledger SuspectLedger
	Node   *bergamotmember.Node

	nextReport time.Time
	lastMerged *bergamotmember.Snapshot
}

// Name returns "suspects".
func (c *Suspects) Name() string { return "suspects" }

// Reconcile merges the failures of the other entries into the ledger and reports those of this entry.
func (c *Suspects) Reconcile(s *State) []Task {
	if p := s.Members(); p != nil && p != c.lastMerged {
		c.lastMerged = p
		c.merge(p)
	}
	if !s.Now().Before(c.nextReport) {
		c.nextReport = s.Now().Add(reportPeriod)
		c.report(s.Now())
	}
	return nil
}

func (c *Suspects) merge(p *bergamotmember.Snapshot) {
	var failures []bergamotsuspect.Failure
	for _, crash := range p.Crashes() {
		// The age is computed from the remaining lifetime, so that clocks of different machines are not compared.
		if f, ok := bergamotsuspect.DecodeFailure(crash.Key(), crash.Data(), failureLifetime-crash.TTL()); ok {
			failures = append(failures, f)
		}
	}
	c.Ledger.Merge(failures)
}

func (c *Suspects) report(now time.Time) {
	for i, f := range c.Ledger.Export() {
		if i == maxFailuresPerPass {
			return
		}
		if left := failureLifetime - f.Age(); left > 0 {
			key, data := bergamotsuspect.EncodeFailure(f)
			c.Node.ReportCrash(now, key, data, left)
		}
	}
}
