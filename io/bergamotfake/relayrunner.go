package bergamotfake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// RelayRunner is the stand-in of a runner of the platform: it holds a range of layers or none, answers plain calls, and
// streams events over a path that it trusts the other runners to hold.
type RelayRunner struct {
	Faults Faults
	ID     string
	Pause  time.Duration // time between two events

	mu      sync.Mutex
	born    int64
	from    int
	to      int
	runs    []RelayRun
	orders  int
	rejects int
	breaks  int
	after   int
	wrongID bool
}

// RelayRun is a request that a runner has begun to work on.
type RelayRun struct {
	ID        string
	Method    string
	Target    string
	Workspace string
	Key       string
	Position  int
	Path      string
	Deadline  int
	Body      string
	At        time.Time // when the runner began
}

// NewRelayRunner returns a runner that holds nothing.
func NewRelayRunner(id string) *RelayRunner {
	return &RelayRunner{ID: id, Pause: time.Millisecond, born: time.Now().UnixMilli()}
}

// Born returns the start of the runner in Unix milliseconds.
func (f *RelayRunner) Born() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.born
}

// Held returns the layers that the runner holds.
func (f *RelayRunner) Held() (from, to int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.from, f.to
}

// Runs returns the requests that the runner has begun to work on.
func (f *RelayRunner) Runs() []RelayRun {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]RelayRun(nil), f.runs...)
}

// Reject makes the runner reject the next n requests without running them.
func (f *RelayRunner) Reject(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejects = n
}

// Break makes the runner cut the next n answers after a number of events, or before a plain answer.
func (f *RelayRunner) Break(n, after int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breaks, f.after = n, after
}

// Restart makes the runner another process that holds nothing.
func (f *RelayRunner) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.born, f.from, f.to = f.born+1, 0, 0
}

// SetWrongID makes the runner answer with the id of another request.
func (f *RelayRunner) SetWrongID(wrong bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wrongID = wrong
}

// Handler returns the HTTP interface with the faults.
func (f *RelayRunner) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", f.report)
	mux.HandleFunc("POST /order", f.order)
	mux.HandleFunc("/", f.answer)
	return f.Faults.Wrap(mux)
}

func (f *RelayRunner) report(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := map[string]any{"born": f.born, "seq": f.orders, "kvUsed": 0, "kvTotal": 1e6, "pace": 1.0, "layers": nil, "stalled": []any{}}
	if f.to > f.from {
		m["layers"] = map[string]int{"from": f.from, "target": f.to, "version": 1}
	}
	// A caller that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(m)
}

func (f *RelayRunner) order(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		To        int    `json:"target"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from, f.to, f.orders = in.From, in.To, f.orders+1
	w.WriteHeader(http.StatusAccepted)
}

// answer runs a request unless it is meant for another runner or rejected.
func (f *RelayRunner) answer(w http.ResponseWriter, r *http.Request) {
	h := r.Header
	f.mu.Lock()
	id := h.Get("X-Bergamotspur-Attempt-Id")
	if h.Get("X-Bergamotspur-Expect-Instance") != f.ID {
		f.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if f.rejects > 0 {
		f.rejects--
		f.mu.Unlock()
		h := w.Header()
		h.Set("X-Bergamotspur-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := RelayRun{
		ID: id, Method: r.Method, Target: r.RequestURI, Workspace: h.Get("X-Bergamotspur-Tenant"), Key: h.Get("Authorization"),
		Position: -1, Path: h.Get("X-Bergamotspur-Hop-Count"), At: time.Now(),
	}
	if n, err := strconv.Atoi(h.Get("Last-Event-Id")); err == nil {
		run.Position = n
	}
	// A deadline that is missing shows as 0.
	run.Deadline, _ = strconv.Atoi(h.Get("X-Bergamotspur-Deadline-Ms"))
	run.Body = readAll(r)
	f.runs = append(f.runs, run)
	breaks := f.breaks > 0
	if breaks {
		f.breaks--
	}
	after, pause := f.after, f.Pause
	if f.wrongID {
		id = "another"
	}
	f.mu.Unlock()
	w.Header().Set("X-Bergamotspur-Attempt-Id", id)
	w.Header().Set("X-Bergamotspur-Server-Stamp", "stamp-"+f.ID)
	if run.Path == "" {
		if breaks {
			panic(http.ErrAbortHandler)
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
	sent := 0
	for n := run.Position + 1; n < streamEvents; n++ {
		if breaks && sent >= after {
			panic(http.ErrAbortHandler)
		}
		// A caller that has gone away ends the stream at the next write.
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
		if control.Flush() != nil {
			return
		}
		sent++
		<-time.After(pause)
	}
}
