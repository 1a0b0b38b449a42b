package bergamottunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
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
)

// tunnelBytes is the charge of the connection to a runner: its goroutine, both buffers, and what the kernel may hold for it.
const tunnelBytes = 32 << 10

// reachTimeout is how long a helper tries to reach a runner. A connection within a region is established in about a millisecond.
const reachTimeout = 60 * time.Millisecond

// Lender decides whether this entry helps another one.
type Lender interface {
	// Lend returns AnswerConnected if a connection to the runner at an address may be opened for an entry, otherwise why not.
	Lend(entry, address string) bergamotdetour.Answer
}

// Handler serves the tunnels of other entries. It opens only direct connections, so that no request takes two detours.
type Handler struct {
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Lender Lender
	Links  *bergamotdetour.Links
	// Account is charged for the connections to runners; those of the entries are charged by their listener.
	Account *bergamotaccount.Account
	// OnEnd is called when a tunnel ends, with the number of bytes from the runner; OnAnswer after each answer. nil for none.
	OnEnd    func(entry, address string, bytes int64)
	OnAnswer func(entry, address string, a bergamotdetour.Answer)

	open atomic.Int64
}

// Open returns the number of open tunnels.
func (h *Handler) Open() int { return int(h.open.Load()) }

// ServeHTTP answers a request for a tunnel, and carries it until one side closes it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	entry, address := r.Header.Get(fieldEntry), r.URL.Query().Get("to")
	// The connection counts before the answer, so that as many are lent as allowed when many entries ask at once.
	h.open.Add(1)
	defer h.open.Add(-1)
	runner, charge, a := h.connect(r.Context(), entry, address)
	if h.OnAnswer != nil {
		h.OnAnswer(entry, address, a)
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
		h.OnEnd(entry, address, n)
	}
}

// connect returns a direct connection to a runner and its charge, or an answer that says why there is none.
func (h *Handler) connect(ctx context.Context, entry, address string) (runner net.Conn, charge *bergamotaccount.Charge, a bergamotdetour.Answer) {
	if h.Links.AreLost() {
		return nil, nil, bergamotdetour.AnswerCut
	}
	if a = h.Lender.Lend(entry, address); a != bergamotdetour.AnswerConnected {
		return nil, nil, a
	}
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
	head := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"
	if _, err = io.WriteString(entry, head); err != nil {
		return 0
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		// The entry closes the tunnel when its caller has left, or when it has the whole answer.
		// The other direction shows how the connection ended. The plain reader and writer keep the buffer at its size.
		_, _ = io.CopyBuffer(struct{ io.Writer }{runner}, struct{ io.Reader }{buffered}, make([]byte, maxFrame))
		_ = runner.Close()
	}()
	n, _ = writeFrames(entry, runner) // the entry sees the last frame, or that there is none
	_ = entry.Close()
	_ = runner.Close() // a runner that reads nothing more holds up the other direction
	<-sent
	return n
}

// IsSilence reports whether a connection could not be opened because nothing answered, not even with a refusal.
func IsSilence(err error) bool {
	var n net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.As(err, &n) && n.Timeout()
}
