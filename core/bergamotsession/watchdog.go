package bergamotsession

import (
	"context"
	"sync/atomic"
	"time"
)

// watchdog cancels the context of one connection when no message or no token arrives for too long. Two limits are
// needed, since the heartbeats of a stuck target keep its connection alive.
type watchdog struct {
	clock          Clock
	silenceTimeout time.Duration
	stallTimeout   atomic.Int64 // maximum time without a token, in nanoseconds
	startedAt      time.Time
	lastMessage    atomic.Int64 // time of the last message, in nanoseconds after startedAt
	lastToken      atomic.Int64 // time of the last token, in nanoseconds after startedAt
	paused         atomic.Bool
	stop           chan struct{}
	done           chan struct{}
}

// startWatchdog returns a running watchdog; lastToken is the time of the last token of the attempt. It must be closed.
func startWatchdog(c Clock, silenceTimeout, stallTimeout time.Duration, lastToken time.Time, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{clock: c, silenceTimeout: silenceTimeout, startedAt: c.Now(), stop: make(chan struct{}), done: make(chan struct{})}
	w.stallTimeout.Store(int64(stallTimeout))
	w.lastToken.Store(int64(lastToken.Sub(w.startedAt)))
	go w.run(cancel)
	return w
}

// pause suspends both limits while the caller takes a token, since a slow caller is not a failure of the target.
func (w *watchdog) pause() { w.paused.Store(true) }

// resume records the time of a token and restarts both limits; stallTimeout is the limit from now on.
func (w *watchdog) resume(stallTimeout time.Duration) {
	w.stallTimeout.Store(int64(stallTimeout))
	now := int64(w.clock.Now().Sub(w.startedAt))
	w.lastMessage.Store(now)
	w.lastToken.Store(now)
	w.paused.Store(false)
}

// recordHeartbeat records the time of a heartbeat.
func (w *watchdog) recordHeartbeat() { w.lastMessage.Store(int64(w.clock.Now().Sub(w.startedAt))) }

// lastTokenTime returns when the last token arrived.
func (w *watchdog) lastTokenTime() time.Time {
	return w.startedAt.Add(time.Duration(w.lastToken.Load()))
}

// close stops the watchdog and waits until its goroutine has ended.
func (w *watchdog) close() {
	close(w.stop)
	<-w.done
}

func (w *watchdog) run(cancel context.CancelCauseFunc) {
	defer close(w.done)
	for {
		wait := w.silenceTimeout
		if !w.paused.Load() {
			now := w.clock.Now().Sub(w.startedAt)
			untilSilent := time.Duration(w.lastMessage.Load()) + w.silenceTimeout - now
			untilStalled := time.Duration(w.lastToken.Load()+w.stallTimeout.Load()) - now
			// A resume between the reads above may leave outdated times; the next iteration reads the new ones.
			switch wait = min(untilSilent, untilStalled); {
			case w.paused.Load():
				wait = w.silenceTimeout
			case untilStalled <= 0:
				cancel(errStall)
				return
			case untilSilent <= 0:
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
