package bergamottunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotdetour"
)

// Path is the path of requests for a tunnel.
const Path = "/tunnel"

const (
	protocol    = "bergamot-tunnel"
	fieldAnswer = "Tunnel-Answer"
	fieldEntry  = "Tunnel-Entry" // of a request: the entry that asks
	fieldNeed   = "Tunnel-Need"  // of a request: ms for which the connection must not break; builds that know nothing of stops send none
	fieldLeft   = "Tunnel-Left"  // of an answer: ms for which a helper that is stopping still helps
)

// Loan is a connection to a runner that another entry asks for.
type Loan struct {
	Entry   string        // that asks
	Address string        // of the runner
	Need    time.Duration // for which the connection must not break, since what is sent over it must not be sent again
	Stays   bool          // the entry that asks takes no connection that ends with a stop
	Holds   bool          // a stop of this entry waits for it
}

// formatMillis returns a time in milliseconds.
func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }

// parseMillis returns the time that a text has in milliseconds; ok is false if it is none.
func parseMillis(text string) (d time.Duration, ok bool) {
	n, err := strconv.ParseInt(text, 10, 32)
	return time.Duration(n) * time.Millisecond, err == nil && n >= 0
}

// tunnelBytes is the charge of the connection to a runner: its goroutine, both buffers, and what the kernel may hold for it.
const tunnelBytes = 32 << 10

// reachTimeout is how long a helper tries to reach a runner. A connection within a region is established in about a millisecond.
const reachTimeout = 60 * time.Millisecond

// discardTimeout is how long a helper waits at the end of the connection to a runner for the entry to close the tunnel.
const discardTimeout = time.Second

// Lender decides whether this entry helps another one.
type Lender interface {
	// Lend returns AnswerConnected if a connection may be opened, otherwise why not, and for how long this entry still helps if it is
	// stopping.
	Lend(l Loan) (a bergamotdetour.Answer, left time.Duration)
}

// Handler serves the tunnels of other entries. It opens only direct connections, so that no request takes two detours.
type Handler struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Lender Lender
	Links  *bergamotdetour.Links
	// Account is charged for the connections to runners; those of the entries are charged by their listener.
	Account *bergamotaccount.Account
	// OnEnd is called when a tunnel ends, with the number of bytes from the runner; OnAnswer after each answer. nil for none.
	OnEnd    func(l Loan, bytes int64)
	OnAnswer func(l Loan, a bergamotdetour.Answer)

	open atomic.Int64
}

// Open returns the number of open tunnels.
func (h *Handler) Open() int { return int(h.open.Load()) }

// ServeHTTP answers a request for a tunnel, and carries it until one side closes it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	need, knowsStops := parseMillis(r.Header.Get(fieldNeed))
	l := Loan{Entry: r.Header.Get(fieldEntry), Address: r.URL.Query().Get("to"), Need: need, Stays: !knowsStops}
	// The connection counts before the answer, so that as many are lent as allowed when many entries ask at once.
	h.open.Add(1)
	defer h.open.Add(-1)
	runner, charge, a, left := h.connect(r.Context(), l)
	// What is lent during a stop makes it no longer, unless the other entry was promised that it does not break.
	l.Holds = left == 0 || l.Need > 0
	if h.OnAnswer != nil {
		h.OnAnswer(l, a)
	}
	if left > 0 {
		w.Header().Set(fieldLeft, formatMillis(left))
	}
	if a != bergamotdetour.AnswerConnected {
		w.Header().Set(fieldAnswer, string(a))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer charge.Close()
	defer func() { _ = runner.Close() }() // the tunnel has ended
	n := carry(w, runner)
	if h.OnEnd != nil {
		h.OnEnd(l, n)
	}
}

// connect returns a direct connection to a runner and its charge, or an answer that says why there is none, and for how long this entry still
// helps if it is stopping.
func (h *Handler) connect(ctx context.Context, l Loan) (runner net.Conn, charge *bergamotaccount.Charge, a bergamotdetour.Answer, left time.Duration) {
	if h.Links.AreLost() {
		return nil, nil, bergamotdetour.AnswerCut, 0
	}
	if a, left = h.Lender.Lend(l); a != bergamotdetour.AnswerConnected {
		return nil, nil, a, left
	}
	runner, charge, a = h.dial(ctx, l.Entry, l.Address)
	return runner, charge, a, left
}

// dial is connect for a connection that may be lent.
func (h *Handler) dial(ctx context.Context, entry, address string) (runner net.Conn, charge *bergamotaccount.Charge, a bergamotdetour.Answer) {
	dialCtx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	runner, err := h.Dial(dialCtx, "tcp", address)
	if err != nil && ctx.Err() != nil {
		return nil, nil, bergamotdetour.AnswerSilent // nobody waits for the answer
	}
	if err != nil {
		h.Links.Missed(address, IsSilence(err), "")
		if h.Links.AreDoubtful() {
			return nil, nil, bergamotdetour.AnswerCut // it may be cut as well, and says nothing about the runner
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, nil, bergamotdetour.AnswerRefused
		}
		return nil, nil, bergamotdetour.AnswerUnreached
	}
	h.Links.Connected(address)
	charge = h.Account.Open(bergamotaccount.NewHolder(bergamotaccount.KindPeer, entry, func(bergamotaccount.Cause) {
		_ = runner.Close() // ends the tunnel
	}))
	if charge.Resize(tunnelBytes) != nil {
		charge.Close()
		_ = runner.Close() // nothing was sent
		return nil, nil, bergamotdetour.AnswerFull
	}
	return runner, charge, bergamotdetour.AnswerConnected
}

// carry passes bytes between the entry that asked and a runner until one of them ends, and returns how many came from the runner.
func carry(w http.ResponseWriter, runner net.Conn) (n int64) {
	entry, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return 0 // the entry has gone away
	}
	defer func() { _ = entry.Close() }() // the tunnel has ended
	head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n"
	if left := w.Header().Get(fieldLeft); left != "" {
		head += fieldLeft + ": " + left + "\r\n"
	}
	head += "\r\n"
	if _, err = io.WriteString(entry, head); err != nil {
		return 0
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		// The entry closes the tunnel when its caller has left, or when it has the whole answer.
		// The other direction shows how the connection ended. The plain reader and writer keep the buffer at its size.
		from, buffer := struct{ io.Reader }{buffered}, make([]byte, maxFrame)
		_, _ = io.CopyBuffer(struct{ io.Writer }{runner}, from, buffer)
		_ = runner.Close()
		// Closing a connection with bytes that were not read resets it, and the entry would lose the rest of an answer that came early.
		_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, from, buffer)
	}()
	n, _ = writeFrames(entry, runner) // the entry sees the last frame, or that there is none
	_ = runner.Close()                // a runner that reads nothing more holds up the other direction
	// A read deadline would not do: connections that were evicted ignore it.
	defer time.AfterFunc(discardTimeout, func() { _ = entry.Close() }).Stop()
	<-sent
	return n
}

// IsSilence reports whether a connection could not be opened because nothing answered, not even with a refusal.
func IsSilence(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.As(err, &n) && n.Timeout()
}
