package bergamotclaim_test

import (
	"context"
	"runtime"
)

// process is a goroutine of an entry that pauses at each operation until the test resumes it. The test thus controls
// the order of all operations, and the same choices give the same run.
type process struct {
	entry         *entryModel
	operation     string // operation at which the process is paused
	resume        chan fault
	paused        chan struct{} // receives a value when the process has paused or ended
	ended         bool
	isQueueWriter bool // the process writes a queued conclusion
	writes        int  // table writes that took effect
}

type processKey struct{}

// pauseAt pauses the process at an operation and returns the fault to inject; it ends the process if its entry was
// killed.
func pauseAt(ctx context.Context, operation string) fault {
	p, ok := ctx.Value(processKey{}).(*process)
	if !ok {
		return faultOK // the operation is not made by a process but by the test itself
	}
	if p.entry.killed {
		runtime.Goexit()
	}
	p.operation = operation
	p.paused <- struct{}{}
	f := <-p.resume
	if p.entry.killed {
		runtime.Goexit()
	}
	return f
}

// startProcess starts a process and waits until it pauses at its first operation.
func startProcess(e *entryModel, run func(ctx context.Context)) *process {
	p := &process{entry: e, resume: make(chan fault), paused: make(chan struct{})}
	go func() {
		defer func() {
			p.ended = true
			p.paused <- struct{}{}
		}()
		run(context.WithValue(context.Background(), processKey{}, p))
	}()
	<-p.paused
	return p
}

// advance resumes the process with a fault for its operation and waits until it pauses again or ends.
func (p *process) advance(f fault) {
	p.resume <- f
	<-p.paused
}
