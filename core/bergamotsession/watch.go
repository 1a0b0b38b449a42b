package bergamotsession

import (
	"context"
	"sync/atomic"
	"time"
)

// watch ends the context of one connection when it is silent for too long, or when no token came for too
// long. Two limits are needed, since heartbeats of a stuck target keep its connection alive.
type watch struct {
	clock   Clock
	silence time.Duration
	stall   atomic.Int64 // limit of the time without a token, in nanoseconds
	begin   time.Time
	line    atomic.Int64 // time of the last message since begin
	token   atomic.Int64 // time of the last token since begin
	paused  atomic.Bool
	stop    chan struct{}
	done    chan struct{}
}

// startWatch watches until close; token is when the last token of the attempt came.
func startWatch(c Clock, silence, stall time.Duration, token time.Time, cancel context.CancelCauseFunc) *watch {
	w := &watch{clock: c, silence: silence, begin: c.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	w.stall.Store(int64(stall))
	w.token.Store(int64(token.Sub(w.begin)))
	go w.run(cancel)
	return w
}

// pause stops both limits while the caller takes a token, since a slow caller is no fault of a target.
func (w *watch) pause() { w.paused.Store(true) }

// resume marks the time of a token and restarts both limits; stall is the limit from now on.
func (w *watch) resume(stall time.Duration) {
	w.stall.Store(int64(stall))
	now := int64(w.clock.Now().Sub(w.begin))
	w.line.Store(now)
	w.token.Store(now)
	w.paused.Store(false)
}

// beat marks the time of a message without a token.
func (w *watch) beat() { w.line.Store(int64(w.clock.Now().Sub(w.begin))) }

// lastToken returns when the last token came.
func (w *watch) lastToken() time.Time { return w.begin.Add(time.Duration(w.token.Load())) }

// close ends the watch.
func (w *watch) close() {
	close(w.stop)
	<-w.done
}

func (w *watch) run(cancel context.CancelCauseFunc) {
	defer close(w.done)
	for {
		wait := w.silence
		if !w.paused.Load() {
			now := w.clock.Now().Sub(w.begin)
			silent := time.Duration(w.line.Load()) + w.silence - now
			stalled := time.Duration(w.token.Load()+w.stall.Load()) - now
			// A resume between the reads above leaves old times behind; the next pass sees the new ones.
			switch wait = min(silent, stalled); {
			case w.paused.Load():
				wait = w.silence
			case stalled <= 0:
				cancel(errStall)
				return
			case silent <= 0:
				cancel(errSilence)
				return
			}
		}
		select {
		case <-w.stop:
			return
		case <-w.clock.After(wait):
		}
	}
}
