package bergamotclaim_test

import (
	"context"
	"runtime"
)

// process is one goroutine of an entry that stops at each operation until the scheduler lets it go on, so that a test
// decides the order of all operations and every run with the same choices is the same.
type process struct {
	entry   *entryModel
	op      string // operation at which the process stands
	resume  chan fault
	stopped chan struct{} // the process stands at an operation or has ended
	ended   bool
	queue   bool // it writes a queued conclusion
	writes  int  // writes to the table that took effect
}

type processKey struct{}

// stop waits at an operation; a process whose entry was killed goes no further.
func stop(ctx context.Context, op string) fault {
	p, ok := ctx.Value(processKey{}).(*process)
	if !ok {
		return faultOK // the test itself
	}
	if p.entry.killed {
		runtime.Goexit()
	}
	p.op = op
	p.stopped <- struct{}{}
	f := <-p.resume
	if p.entry.killed {
		runtime.Goexit()
	}
	return f
}

// spawn starts a process and waits until it stands at its first operation.
func spawn(e *entryModel, run func(ctx context.Context)) *process {
	p := &process{entry: e, resume: make(chan fault), stopped: make(chan struct{})}
	go func() {
		defer func() {
			p.ended = true
			p.stopped <- struct{}{}
		}()
		run(context.WithValue(context.Background(), processKey{}, p))
	}()
	<-p.stopped
	return p
}

// next lets the process go on with a fault for its operation until it stops again.
func (p *process) next(f fault) {
	p.resume <- f
	<-p.stopped
}
