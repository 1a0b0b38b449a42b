package bergamotrelay

import (
	"time"

	"bergamotspur/core/bergamotpath"
)

// Notices excludes the runners that say in an answer that they leave, or that they want no requests for a while.
type Notices struct {
	Exclusions *bergamotpath.Exclusions
	Views      Views
	OnLeaving  func(runner, process string)         // called once for each process that leaves
	OnPause    func(runner string, d time.Duration) // called for each pause that extends an earlier one
}

// RunnerLeaving excludes the process that got an attempt for good.
func (n *Notices) RunnerLeaving(a Attempt) {
	if a.process != "" && n.Exclusions.SetLeaving(a.process) {
		n.OnLeaving(a.runner, a.process)
	}
}

// RunnerPaused excludes the process that got an attempt for d, and the runner of its path at faultAddress if there is one.
func (n *Notices) RunnerPaused(a Attempt, faultAddress string, d time.Duration) {
	n.pause(a.runner, a.process, d)
	for _, s := range a.plan.Stages() {
		if s.Address() != faultAddress || s.Instance() == a.runner {
			continue
		}
		if i, ok := n.Views.View().Fleet().Instance(s.Instance()); ok {
			n.pause(i.Name(), i.Process(), d)
		}
	}
}

func (n *Notices) pause(runner, process string, d time.Duration) {
	if process != "" && n.Exclusions.Pause(process, d) {
		n.OnPause(runner, d)
	}
}
