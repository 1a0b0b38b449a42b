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
	journalLines = 1024                   // lines that may wait for the output; more are dropped and counted
	journalFlush = 200 * time.Millisecond // time between two writes, each of which is a system call
	lineRate     = 60                     // lines a second of one kind
	lineBurst    = 240                    // lines of one kind at once
)

// Journal writes structured lines without ever waiting for the output. The lines of each kind are bounded; those left
// out are counted in the next line of the kind.
type Journal struct {
	logger log.Logger
	lines  chan []byte
	done   chan struct{}
	out    io.Writer

	mu      sync.Mutex
	kinds   map[string]*kind
	dropped int64
	closed  bool
}

type kind struct {
	limiter *rate.Limiter
	left    int64
}

// NewJournal returns a journal of an entry that writes to out until Close.
func NewJournal(out io.Writer, entry string) *Journal {
	j := &Journal{out: out, lines: make(chan []byte, journalLines), done: make(chan struct{}), kinds: map[string]*kind{}}
	j.logger = log.Logger{
		Level: log.InfoLevel, TimeFormat: "15:04:05.000", Writer: &log.IOWriter{Writer: queue{j}},
		Context: log.NewContext(nil).Str("entry", entry).Value(),
	}
	go j.run()
	return j
}

// Event writes a line of a part about what happened, with names and values in turn.
func (j *Journal) Event(part, what string, fields ...any) {
	left, ok := j.admit(part + what)
	if !ok {
		return
	}
	e := j.logger.Info()
	if left > 0 {
		e = e.Int64("left", left)
	}
	e.KeysAndValues(fields...).Msg(part + ": " + what)
}

// Errors returns a logger for libraries that write plain lines.
func (j *Journal) Errors(part string) *stdlog.Logger { return stdlog.New(plain{j, part}, "", 0) }

// Close writes what waits and ends the journal.
func (j *Journal) Close() {
	j.mu.Lock()
	closed := j.closed
	j.closed = true
	j.mu.Unlock()
	if !closed {
		close(j.lines)
	}
	<-j.done
}

// admit tells whether a line of a kind may be written, and how many were left out before it.
func (j *Journal) admit(name string) (left int64, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := j.kinds[name]
	if k == nil {
		k = &kind{limiter: rate.NewLimiter(lineRate, lineBurst)}
		j.kinds[name] = k
	}
	if !k.limiter.Allow() {
		k.left++
		return 0, false
	}
	left, k.left = k.left, 0
	return left, true
}

// run gathers lines, so that many of them take one system call.
func (j *Journal) run() {
	defer close(j.done)
	var buffer []byte
	for line := range j.lines {
		buffer = append(buffer[:0], line...)
		open := true
		lines := 1
		for timer := time.After(journalFlush); open && timer != nil && lines < journalLines; lines++ {
			select {
			case line, more := <-j.lines:
				open = more
				buffer = append(buffer, line...)
			case <-timer:
				timer = nil
			}
		}
		// There is nowhere to report that the output is closed.
		_, _ = j.out.Write(buffer)
		j.mu.Lock()
		dropped := j.dropped
		j.dropped = 0
		j.mu.Unlock()
		if dropped > 0 {
			j.Event("log", "lines dropped", "left", dropped)
		}
	}
}

// queue takes finished lines without blocking.
type queue struct{ journal *Journal }

// Write queues a line, or drops it when the output is too slow.
func (q queue) Write(line []byte) (int, error) {
	j := q.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.closed {
		return len(line), nil
	}
	select {
	case j.lines <- append([]byte(nil), line...):
	default:
		j.dropped++
	}
	return len(line), nil
}

// plain turns the lines of a library into events.
type plain struct {
	journal *Journal
	part    string
}

// Write writes one event.
func (p plain) Write(line []byte) (int, error) {
	p.journal.Event(p.part, "library", "text", string(line))
	return len(line), nil
}
