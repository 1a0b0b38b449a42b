package bergamotfake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A RelayRunner is a fake of a runner of the platform: it holds one range of layers or none, answers plain calls, and
// streams events for requests with a path, without calling the other runners on it.
type RelayRunner struct {
	Faults        Faults
	ID            string
	EventInterval time.Duration // time between two events of a stream
	Prefill       time.Duration // time from the header of a stream to its first event, or before the answer to a call
	RequireFence  bool          // orders with a lower fencing token than an earlier one are refused

	mu          sync.Mutex
	startTime   int64 // Unix milliseconds
	from        int
	to          int
	runs        []RelayRun
	orders      int64  // orders that the process has accepted
	fence       int64  // highest fencing token that it has seen
	rejectsLeft int    // requests still to be rejected
	rejected    int    // requests that were rejected
	retryAfter  string // Retry-After of rejections, empty for none
	leaving     bool
	rateLimit   string // Server-Limit of all answers, empty for none
	breaks      int    // answers still to be broken off
	after       int    // events before a stream is broken off
	wrongID     bool
	unframed    bool        // answers have neither a length nor chunks
	deadlyPart  string      // part of prompts on which the process crashes, empty for none
	crashEarly  bool        // it crashes before it has sent the header of the answer
	crash       func()      // ends the process and its connections
	endless     EndlessPart // part of answers that never ends, empty for none
	endlessSent int64       // bytes of endless parts that were sent
	raw         *RawAnswer  // that requests get, nil for none
}

// An EndlessPart is the part of an answer that a runner in trouble sends until its caller closes the connection.
type EndlessPart string

// Endless parts of an answer.
const (
	EndlessHead     EndlessPart = "head"
	EndlessInterim  EndlessPart = "interim"  // answers with status 100 before the head
	EndlessBody     EndlessPart = "body"     // of an answer that is no stream
	EndlessChunk    EndlessPart = "chunk"    // the line with the size of a chunk of the body
	EndlessTrailer  EndlessPart = "trailer"  // after the last chunk of the body
	EndlessEvent    EndlessPart = "event"    // of a stream, after its first event
	EndlessComments EndlessPart = "comments" // between the events of a stream, one each 20 ms
)

// A RelayRun is a request that a runner has started to run.
type RelayRun struct {
	ID            string
	Method        string
	Target        string // request URI
	Workspace     string
	Authorization string
	LastEvent     int    // the Last-Event-Id header, -1 if absent
	Path          string // the header that lists the runners on the path, empty for a plain call
	Deadline      int    // milliseconds
	Body          string
	Parts         string    // the header that lists the parts of the prompt
	StartTime     time.Time // when the runner started to run the request
}

// isStream reports whether the request is answered with events: by the beginning of its target, and else if it goes over a path.
func (r RelayRun) isStream() bool {
	switch {
	case strings.HasPrefix(r.Target, "/events/"):
		return true
	case strings.HasPrefix(r.Target, "/whole/"):
		return false
	default:
		return r.Path != ""
	}
}

// NewRelayRunner returns a runner that holds nothing.
func NewRelayRunner(id string) *RelayRunner {
	return &RelayRunner{ID: id, EventInterval: time.Millisecond, startTime: time.Now().UnixMilli()}
}

// StartTime returns the start time of the runner in Unix milliseconds.
func (f *RelayRunner) StartTime() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startTime
}

// Held returns the layers that the runner holds.
func (f *RelayRunner) Held() (from, to int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.from, f.to
}

// Runs returns the requests that the runner has started to run.
func (f *RelayRunner) Runs() []RelayRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]RelayRun(nil), f.runs...)
}

// Reject makes the runner reject the next n requests without running them.
func (f *RelayRunner) Reject(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejectsLeft = n
}

// SetRetryAfter sets the Retry-After field of rejections; an empty one is left out.
func (f *RelayRunner) SetRetryAfter(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryAfter = text
}

// Rejected returns how many requests the runner has rejected.
func (f *RelayRunner) Rejected() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rejected
}

// SetLeaving makes the runner say in its answers that it leaves.
func (f *RelayRunner) SetLeaving(leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = leaving
}

// SetRateLimit sets the requests a second that the runner names in all its answers and reports; an empty text names none.
func (f *RelayRunner) SetRateLimit(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rateLimit = text
}

// nameLimit adds the limit to the header of an answer. The caller holds the lock.
func (f *RelayRunner) nameLimit(h http.Header) {
	if f.rateLimit != "" {
		h.Set("Server-Limit", f.rateLimit)
	}
}

// RunsIn returns how many requests the runner has started to run in a span of time, of all entries together.
func (f *RelayRunner) RunsIn(from, to time.Time) (n int) {
	for _, r := range f.Runs() {
		if !r.StartTime.Before(from) && r.StartTime.Before(to) {
			n++
		}
	}
	return n
}

// BreakAnswers makes the runner close the connection during the next n answers: in a stream after that number of events,
// otherwise before the answer.
func (f *RelayRunner) BreakAnswers(n, after int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breaks, f.after = n, after
}

// Restart gives the runner a later start time and drops its layers, as a restarted process would.
func (f *RelayRunner) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.startTime, f.from, f.to, f.orders, f.fence = f.startTime+1, 0, 0, 0, 0
}

// SetWrongID makes the runner answer with the attempt id of another request.
func (f *RelayRunner) SetWrongID(wrong bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrongID = wrong
}

// SetUnframed makes the answers end with their connection, without a length or chunks. Streams that BreakAnswers breaks off
// then end within an event.
func (f *RelayRunner) SetUnframed(unframed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unframed = unframed
}

// CrashOn makes the process crash, which crash does, when it begins to answer a request with a part in its prompt.
func (f *RelayRunner) CrashOn(part string, crash func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadlyPart, f.crash = part, crash
}

// CrashEarly makes the process crash before it sends the header of its answer, not after it.
func (f *RelayRunner) CrashEarly() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashEarly = true
}

// SendEndless makes the runner send a part of its answers without end; an empty part ends that.
func (f *RelayRunner) SendEndless(p EndlessPart) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endless, f.endlessSent = p, 0
}

// EndlessSent returns how many bytes of endless parts were sent since SendEndless.
func (f *RelayRunner) EndlessSent() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endlessSent
}

// Handler returns the HTTP interface with the faults.
func (f *RelayRunner) Handler() http.Handler {
	// A ServeMux would redirect requests whose paths have two slashes.
	return f.Faults.Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /report":
			f.report(w, r)
		case "POST /order":
			f.order(w, r)
		default:
			f.answer(w, r)
		}
	}))
}

func (f *RelayRunner) report(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nameLimit(w.Header())
	m := map[string]any{"born": f.startTime, "seq": f.orders, "kvUsed": 0, "kvTotal": 1e6, "pace": 1.0, "layers": nil, "stalled": []any{}}
	if f.to > f.from {
		m["layers"] = map[string]int{"from": f.from, "target": f.to, "version": 1}
	}
	// A failed write is ignored: the caller may have closed its connection.
	_ = json.NewEncoder(w).Encode(m)
}

// order carries out an order unless the runner has accepted other orders than it expects or has seen a higher fencing token.
func (f *RelayRunner) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Operation    string `json:"operation"`
		From         int    `json:"from"`
		To           int    `json:"target"`
		FencingToken int64  `json:"fencingToken"`
		Orders       *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.RequireFence && in.FencingToken < f.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	if in.Orders != nil && *in.Orders != f.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	f.from, f.to, f.orders, f.fence = in.From, in.To, f.orders+1, max(f.fence, in.FencingToken)
	w.WriteHeader(http.StatusAccepted)
}

// answer runs a request unless it is addressed to another runner or rejected.
func (f *RelayRunner) answer(w http.ResponseWriter, r *http.Request) {
	h := r.Header
	f.mu.Lock()
	id := h.Get("X-Bergamotspur-Attempt-Id")
	if h.Get("X-Bergamotspur-Expect-Instance") != f.ID {
		f.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f.nameLimit(w.Header())
	if f.rejectsLeft > 0 {
		f.rejectsLeft--
		f.rejected++
		if f.wrongID {
			w.Header().Set("X-Bergamotspur-Attempt-Id", "another")
		}
		if f.retryAfter != "" {
			w.Header().Set("Retry-After", f.retryAfter)
		}
		f.mu.Unlock()
		h := w.Header()
		h.Set("X-Bergamotspur-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := RelayRun{
		ID: id, Method: r.Method, Target: r.RequestURI, Workspace: h.Get("X-Bergamotspur-Tenant"), Authorization: h.Get("Authorization"),
		LastEvent: -1, Path: h.Get("X-Bergamotspur-Hop-Count"), Parts: h.Get("X-Bergamotspur-Prompt-Prefix"), StartTime: time.Now(),
	}
	if n, err := strconv.Atoi(h.Get("Last-Event-Id")); err == nil {
		run.LastEvent = n
	}
	// A missing deadline is recorded as 0.
	run.Deadline, _ = strconv.Atoi(h.Get("X-Bergamotspur-Deadline-Ms"))
	raw := f.takeRaw()
	if raw == nil {
		run.Body = readAll(r)
	}
	f.runs = append(f.runs, run)
	breaks := f.breaks > 0
	if breaks {
		f.breaks--
	}
	after, pause, endless, crash, crashEarly, unframed := f.after, f.EventInterval, f.endless, f.crash, f.crashEarly, f.unframed
	if f.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	isDeadly := f.deadlyPart != "" && strings.Contains(run.Parts, f.deadlyPart)
	if f.wrongID {
		id = "another"
	}
	f.mu.Unlock()
	w.Header().Set("X-Bergamotspur-Attempt-Id", id)
	w.Header().Set("X-Bergamotspur-Server-Stamp", "stamp-"+f.ID)
	if isDeadly {
		if !crashEarly {
			_ = http.NewResponseController(w).Flush() // the header; a caller that has gone away misses nothing
		}
		crash()
		return
	}
	if raw != nil {
		f.sendRaw(w, *raw)
		return
	}
	if endless != "" {
		f.sendEndless(w, endless)
		return
	}
	if unframed {
		f.answerUnframed(w, run, breaks, after)
		return
	}
	if !run.isStream() {
		if breaks {
			panic(http.ErrAbortHandler)
		}
		if f.Prefill > 0 {
			<-time.After(f.Prefill)
		}
		_, _ = fmt.Fprintf(w, "answer to %s", run.ID)
		return
	}
	f.stream(w, run, breaks, after, pause)
}

// streamEvents is the number of events of each stream.
const streamEvents = 6

func (f *RelayRunner) stream(w http.ResponseWriter, run RelayRun, breaks bool, after int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if f.Prefill > 0 {
		_ = control.Flush() // if the caller has gone away, the first event notices
		<-time.After(f.Prefill)
	}
	sent := 0
	for n := run.LastEvent + 1; n < streamEvents; n++ {
		if breaks && sent >= after {
			panic(http.ErrAbortHandler)
		}
		// A failed write is ignored: Flush then ends the stream.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if control.Flush() != nil {
			return
		}
		sent++
		<-time.After(pause)
	}
}

// answerUnframed sends an answer that ends with its connection.
func (f *RelayRunner) answerUnframed(w http.ResponseWriter, run RelayRun, breaks bool, after int) {
	c, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // the server of the fake supports it
	}
	defer func() { _ = c.Close() }() // failed writes are ignored: the caller may have gone away
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(out)
	_, _ = out.WriteString("\r\n")
	if !run.isStream() {
		_, _ = fmt.Fprintf(out, "answer to %s", run.ID)
	}
	for n := run.LastEvent + 1; run.isStream() && n < streamEvents; n++ {
		if breaks && n == run.LastEvent+1+after {
			_, _ = fmt.Fprintf(out, "id: %d\ndata: tok", n)
			break
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: token %d\n\n", n, n)
	}
	_ = out.Flush()
}
