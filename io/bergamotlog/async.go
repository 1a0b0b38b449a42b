package bergamotlog

import (
	"io"
	stdlog "log"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"
)

const (
	maxPendingLines = 1024                   // lines that may wait for the writer; further ones are dropped and counted
	flushInterval   = 200 * time.Millisecond // lines are collected for this long, since each write is a system call
	lineRate        = 60                     // sustained lines per second of one kind
	lineBurst       = 240                    // lines of one kind in a burst
)

// AsyncLogger writes JSON lines from a background goroutine, so that callers never wait for the output. Each kind of line
// is rate limited; the next line of the kind gives the number of suppressed ones.
type AsyncLogger struct {
	logger log.Logger
	lines  chan []byte
	done   chan struct{}
	out    io.Writer

	mu      sync.Mutex
	kinds   map[string]*lineKind
	dropped int64
	closed  bool
}

// lineKind is the rate limit of the lines with the same part and event.
type lineKind struct {
	limiter    *rate.Limiter
	suppressed int64 // since the last line that was written
}

// NewAsyncLogger returns a logger that writes the lines of an entry to out until Close.
func NewAsyncLogger(out io.Writer, entry string) *AsyncLogger {
	l := &AsyncLogger{out: out, lines: make(chan []byte, maxPendingLines), done: make(chan struct{}), kinds: map[string]*lineKind{}}
	l.logger = log.Logger{
		Level: log.InfoLevel, TimeFormat: "15:04:05.000", Writer: &log.IOWriter{Writer: queueWriter{l}},
		Context: log.NewContext(nil).Str("entry", entry).Value(),
	}
	go l.run()
	return l
}

// Event writes a line about an event in a part of the system; fields are alternating keys and values.
func (l *AsyncLogger) Event(part, event string, fields ...any) {
	suppressed, ok := l.admit(part + event)
	if !ok {
		return
	}
	e := l.logger.Info()
	if suppressed > 0 {
		e = e.Int64("left", suppressed)
	}
	e.KeysAndValues(fields...).Msg(part + ": " + event)
}

// StdLogger returns a standard library logger, for libraries that take one, whose lines become events of part.
func (l *AsyncLogger) StdLogger(part string) *stdlog.Logger {
	return stdlog.New(eventWriter{l, part}, "", 0)
}

// Close writes the pending lines and stops the logger.
func (l *AsyncLogger) Close() {
	l.mu.Lock()
	closed := l.closed
	l.closed = true
	l.mu.Unlock()
	if !closed {
		close(l.lines)
	}
	<-l.done
}

// admit reports whether a line of a kind may be written, and returns how many were suppressed before it.
func (l *AsyncLogger) admit(kind string) (suppressed int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil {
		k = &lineKind{limiter: rate.NewLimiter(lineRate, lineBurst)}
		l.kinds[kind] = k
	}
	if !k.limiter.Allow() {
		k.suppressed++
		return 0, false
	}
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

// run writes the pending lines, many of them in one system call.
func (l *AsyncLogger) run() {
	defer close(l.done)
	var buffer []byte
	for line := range l.lines {
		buffer = append(buffer[:0], line...)
		open := true
		lines := 1
		for timer := time.After(flushInterval); open && timer != nil && lines < maxPendingLines; lines++ {
			select {
			case line, more := <-l.lines:
				open = more
				buffer = append(buffer, line...)
			case <-timer:
				timer = nil
			}
		}
		// A failed write cannot be reported, since this is the log itself.
		_, _ = l.out.Write(buffer)
		l.mu.Lock()
		dropped := l.dropped
		l.dropped = 0
		l.mu.Unlock()
		if dropped > 0 {
			l.Event("log", "lines dropped", "left", dropped)
		}
	}
}

// queueWriter is the io.Writer of the JSON encoder; it queues lines without blocking.
type queueWriter struct{ logger *AsyncLogger }

// Write queues a line, or drops it when too many are pending.
func (w queueWriter) Write(line []byte) (int, error) {
	l := w.logger
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return len(line), nil
	}
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped++
	}
	return len(line), nil
}

// eventWriter is an io.Writer that turns the lines of a library into events.
type eventWriter struct {
	logger *AsyncLogger
	part   string
}

// Write logs a line as one event.
func (w eventWriter) Write(line []byte) (int, error) {
	w.logger.Event(w.part, "library", "text", string(line))
	return len(line), nil
}
