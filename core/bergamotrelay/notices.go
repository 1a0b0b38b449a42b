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
	// Forward passes a notice on to the entry at an address, over which the answer came: the runner has told that entry too. The pause
	// is 0 for a process that leaves.
	Forward func(helper, runner, process string, pause time.Duration)
}

// RunnerLeaving excludes the process that got an attempt for good.
func (n *Notices) RunnerLeaving(a Attempt) {
	n.Learn(a.runner, a.process, 0)
	n.forward(a, a.runner, a.process, 0)
}

// Learn excludes a process for a pause, or for good if that is 0.
func (n *Notices) Learn(runner, process string, pause time.Duration) {
	switch {
	case process == "":
	case pause > 0:
		if n.Exclusions.Pause(process, pause) {
			n.OnPause(runner, pause)
		}
	case n.Exclusions.SetLeaving(process):
		n.OnLeaving(runner, process)
	}
}

func (n *Notices) forward(a Attempt, runner, process string, pause time.Duration) {
	if a.helper != "" && process != "" {
		n.Forward(a.helper, runner, process, pause)
	}
}

// RunnerPaused excludes the process that got an attempt for d, and the runner of its path at faultAddress if there is one.
func (n *Notices) RunnerPaused(a Attempt, faultAddress string, d time.Duration) {
	n.pause(a, a.runner, a.process, d)
	for _, s := range a.plan.Stages() {
		if s.Address() != faultAddress || s.Instance() == a.runner {
			continue
		}
		if i, ok := n.Views.View().Fleet().Instance(s.Instance()); ok {
			n.pause(a, i.Name(), i.Process(), d)
		}
	}
}

func (n *Notices) pause(a Attempt, runner, process string, d time.Duration) {
	if d > 0 {
		n.Learn(runner, process, d)
		n.forward(a, runner, process, d)
	}
}
