package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	layers       = 8
	pieces       = 30 // events of each stream
	pieceTime    = 50 * time.Millisecond
	loadTime     = 150 * time.Millisecond // to take layers
	slots        = 192
)

// event is a line that a runner prints about a request.
type event struct {
	Runner   string `json:"runner"`
	What     string `json:"what"` // "run", "piece" or "end"
	ID       string `json:"id"`
	Service  string `json:"service,omitempty"`
	Target   string `json:"target,omitempty"` // path and query as they arrived
	After    string `json:"after,omitempty"`  // event that the caller has
	Piece    int    `json:"piece,omitempty"`
	Unframed bool   `json:"unframed,omitempty"`
}

// runner is a stand-in for a runner of the platform.
type runner struct {
	id, service, address, admin string
	born                        int64

	mu       sync.Mutex
	from, to int
	seq      int64
	busy     bool
	running  int
	answers  int
	unframed bool // one answer in twenty has no length and ends with its connection
	grey     bool // two requests in five fail after they have run, with 503 and without the field that says that they have not
	out      *bufio.Writer
}

// runRunner serves a runner until the process is killed. Lines on its input switch what it does.
func runRunner(args []string) error {
	f := flag.NewFlagSet("runner", flag.ContinueOnError)
	r := &runner{born: time.Now().UnixMilli(), out: bufio.NewWriter(os.Stdout)}
	f.StringVar(&r.id, "id", "", "id")
	f.StringVar(&r.service, "service", "", "service")
	f.StringVar(&r.address, "address", "", "address")
	f.StringVar(&r.admin, "store", "", "address of the store")
	if err := f.Parse(args); err != nil {
		return err
	}
	go r.beats()
	go func() {
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			r.mu.Lock()
			switch in.Text() {
			case "unframed on", "unframed off":
				r.unframed = in.Text() == "unframed on"
			case "grey on", "grey off":
				r.grey = in.Text() == "grey on"
			}
			r.mu.Unlock()
		}
		os.Exit(0) // the case has ended
	}()
	return http.ListenAndServe(r.address, http.HandlerFunc(r.serve))
}

// print prints an event at once, so that it is known also if the process is killed.
func (r *runner) print(e event) {
	e.Runner = r.id
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(r.out).Encode(e) // the case has ended if nobody reads
	_ = r.out.Flush()
}

func (r *runner) beats() {
	for {
		r.beat()
		<-time.After(beatInterval)
	}
}

// beat writes the row of the runner.
func (r *runner) beat() {
	r.mu.Lock()
	r.seq++
	text, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "eesti-a", "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0, "stage": "both",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": r.seq, "born": r.born, "routeType": "h100", "layers": r.held(),
	})
	r.mu.Unlock()
	if err != nil {
		panic(err) // the row has only texts and numbers
	}
	resp, err := http.Post("http://"+r.admin+"/beat?id="+r.id, "application/json", bytes.NewReader(text))
	if err == nil {
		_ = resp.Body.Close() // the answer says nothing
	}
}

// held returns the layers, nil for none. The caller holds the lock.
func (r *runner) held() any {
	if r.to <= r.from {
		return nil
	}
	return map[string]int{"from": r.from, "target": r.to, "version": 1}
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	switch req.Method + " " + req.URL.Path {
	case "GET /report":
		r.report(w)
	case "POST /order":
		r.order(w, req)
	case "GET /health":
		w.Header().Set("X-Bergamotspur-Instance-Id", r.id)
	default:
		r.answer(w, req)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{ // a caller that has gone away misses nothing
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": r.busy, "seq": r.orders(), "queued": 0,
		"running": r.running, "kvUsed": 1000 * r.running, "kvTotal": 800000, "handles": 0, "pace": 1.0, "born": r.born, "layers": r.held(), "stalled": []any{},
	})
}

// orders returns the number of orders that were accepted. The caller holds the lock.
func (r *runner) orders() int64 {
	if r.to > r.from || r.busy {
		return 1
	}
	return 0
}

// order takes layers, once: each of these runners has room for all.
func (r *runner) order(w http.ResponseWriter, req *http.Request) {
	var in struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		To        int    `json:"target"`
		Orders    *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil || in.Operation != "place" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy || r.to > r.from || in.Orders != nil && *in.Orders != r.orders() {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.busy = true
	time.AfterFunc(loadTime, func() {
		r.mu.Lock()
		r.busy, r.from, r.to = false, in.From, in.To
		r.mu.Unlock()
		r.beat()
	})
	w.WriteHeader(http.StatusAccepted)
}

// answer runs a request unless it is for another runner or another path.
func (r *runner) answer(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Bergamotspur-Attempt-Id")
	if req.Header.Get("X-Bergamotspur-Expect-Instance") != r.id || id == "" {
		w.Header().Set("X-Bergamotspur-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	hasLayers := r.from == 0 && r.to == layers
	r.mu.Unlock()
	if path := req.Header.Get("X-Bergamotspur-Hop-Count"); r.service == "llm" && (!hasLayers || path != fmt.Sprintf("%s=0-%d", r.address, layers)) {
		w.Header().Set("X-Bergamotspur-Not-Executed", "1")
		w.Header().Set("X-Bergamotspur-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.running++
	r.answers++
	unframed, fails := r.unframed && r.answers%20 == 0, r.grey && r.answers%5 < 2
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	r.print(event{What: "run", ID: id, Service: r.service, Target: req.RequestURI, After: req.Header.Get("Last-Event-Id"), Unframed: unframed})
	w.Header().Set("X-Bergamotspur-Attempt-Id", id)
	w.Header().Set("X-Bergamotspur-Server-Stamp", "stamp."+r.id+"."+id)
	if !strings.HasPrefix(req.URL.Path, "/advice/") {
		<-time.After(60 * time.Millisecond)
		if fails {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte("it is booked, but the confirmation could not be made\n")) // a caller that has gone away misses nothing
		} else {
			_, _ = w.Write([]byte(onceBody(id))) // the same
		}
		r.print(event{What: "end", ID: id})
		return
	}
	r.stream(w, req, id, unframed)
}

// onceBody returns the whole body of the answer to a plain call.
func onceBody(id string) string { return "booked " + id + strings.Repeat(".", 800) + "\n" }

// stream sends the events after the one that the caller has.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, id string, unframed bool) {
	next := 0
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	write, end := streamWriter(w, unframed)
	defer end()
	for ; next < pieces; next++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(pieceTime):
		}
		if write(fmt.Sprintf("id: %d\ndata: %s token %d\n\n", next, id, next)) != nil {
			return
		}
		if unframed {
			r.print(event{What: "piece", ID: id, Piece: next, Unframed: true})
		}
	}
	r.print(event{What: "end", ID: id, Unframed: unframed})
}

// streamWriter returns how to send a piece of the body, and how to end it: in chunks or, without a length, with the connection.
func streamWriter(w http.ResponseWriter, unframed bool) (write func(text string) error, end func()) {
	control := http.NewResponseController(w)
	if !unframed {
		return func(text string) error {
			if _, err := w.Write([]byte(text)); err != nil {
				return err
			}
			return control.Flush()
		}, func() {}
	}
	conn, out, err := control.Hijack()
	if err != nil {
		panic(err) // the server supports it
	}
	_, _ = out.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n")
	_ = w.Header().Write(out)
	_, _ = out.WriteString("\r\n")
	return func(text string) error {
		_, _ = out.WriteString(text) // Flush has its error
		return out.Flush()
	}, func() { _ = conn.Close() }
}
