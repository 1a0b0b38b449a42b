package bergamotcluster

import (
	"time"

	"bergamotspur/core/bergamotfleet"
)

const (
	// removedTTL is how long the process of a runner is remembered after its removal. A restore of the store shows it again if the
	// copy is older than the removal; copies are some seconds old, and an outage before the restore adds minutes at most.
	removedTTL = 10 * time.Minute
	// maxRemoved is more than twice the number of runners of a large deployment, all of which may be replaced in that time.
	maxRemoved = 8192
	// defaultHealthPath is that of runners that hold layers.
	defaultHealthPath = "/health"
)

// removedProcesses remembers the processes of runners that were removed.
type removedProcesses struct {
	byProcess map[string]removedProcess
}

type removedProcess struct {
	at      time.Time
	leaving bool
}

// add remembers a process. When there are too many, those that have expired are forgotten first, or else the oldest one.
func (p *removedProcesses) add(i bergamotfleet.Instance, now time.Time) {
	if p.byProcess == nil {
		p.byProcess = map[string]removedProcess{}
	}
	if len(p.byProcess) >= maxRemoved {
		p.makeRoom(now)
	}
	p.byProcess[i.Process()] = removedProcess{at: now, leaving: i.Leaving()}
}

func (p *removedProcesses) makeRoom(now time.Time) {
	oldest := ""
	for process, r := range p.byProcess {
		if now.Sub(r.at) >= removedTTL {
			delete(p.byProcess, process)
		} else if oldest == "" || r.at.Before(p.byProcess[oldest].at) {
			oldest = process
		}
	}
	if len(p.byProcess) >= maxRemoved {
		delete(p.byProcess, oldest)
	}
}

// find returns whether a process was removed not long ago, and whether it was leaving then.
func (p *removedProcesses) find(process string, now time.Time) (r removedProcess, ok bool) {
	r, ok = p.byProcess[process]
	return r, ok && now.Sub(r.at) < removedTTL
}

// restoreRunner adds or updates a runner from a row of a restored table, which may be older than what is known, and reports
// whether the runner gets no work for now: its process was removed before. One that was leaving stays so; another one counts as
// failed until it is found to be healthy or writes its row again.
func (s *State) restoreRunner(spec bergamotfleet.Spec, revision int64) (held bool) {
	old, known := s.runners[spec.Name]
	delete(s.missing, spec.Name)
	if known && old.StartTime() == spec.StartTime && spec.Sequence <= old.Sequence() {
		// The row is not newer than the last one, and the layers may also be known from a report.
		leaving := spec.Leaving
		spec = old.Spec()
		spec.Leaving = spec.Leaving || leaving
	}
	removed, ok := s.removed.find(bergamotfleet.NewInstance(spec).Process(), s.now)
	if !ok || known && old.StartTime() == spec.StartTime {
		s.PutRunner(spec)
		return false
	}
	spec.Leaving = spec.Leaving || removed.leaving
	s.PutRunner(spec)
	if !spec.Leaving {
		// Its layers count as lost, as they did while the runner was missing.
		s.failed[spec.Name] = failure{since: s.now.Add(-deadAfter), nextCheck: s.now, held: true, revision: revision}
		s.setFailed(spec.Name, true)
	}
	return true
}

// healthPath returns the path at which a runner tells whether it may have work.
func (s *State) healthPath(i bergamotfleet.Instance) string {
	if s.config != nil {
		if v, ok := s.config.Service(i.Role()); ok && v.HealthPath() != "" {
			return v.HealthPath()
		}
	}
	return defaultHealthPath
}

// endHold lets a runner that was held back have work again if its row was written after the restore, and reports whether it did.
func (s *State) endHold(name string, revision int64) bool {
	f := s.failed[name]
	if !f.held || f.revision == revision {
		return false
	}
	s.ClearFailed(name)
	return true
}
