package bergamotpeer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/time/rate"

	"bergamotspur/core/bergamotmember"
)

// Limits of the load that peers can cause. About 5 peers have this entry as a partner, each of which sends a heartbeat
// every 2 s. If there are only two entries, each receives 2.5 heartbeats per second from the other.
const (
	maxServerConns          = 64 // open at the same time
	maxConcurrentHandshakes = 4
	callRate                = 4 // heartbeats per second from one peer
	callBurst               = 20
	totalRate               = 8 // heartbeats per second from all peers; their replies of 1.6 KB take 13 KB/s
	totalBurst              = 40
	acceptRate              = 2 // handshakes per second; one takes 3.9 KB of traffic and about 1.2 ms of CPU time
	acceptBurst             = 32
	maxLimiters             = 2048 // peers whose rate limiter is kept
)

// Inbox handles the heartbeats of authenticated peers and returns the replies.
type Inbox interface {
	Heartbeat(ctx context.Context, peer string, m bergamotmember.Message) (bergamotmember.Message, error)
}

// Counter counts events by name.
type Counter interface{ Count(name string) }

// Server answers heartbeats and requests for bundle texts.
type Server struct {
	Listener net.Listener
	TLS      *tls.Config
	Inbox    Inbox
	Texts    Texts   // source of bundle texts; nil if it serves none
	Counter  Counter // counts "peer." followed by "full", "handshake", "flood", "message", "refused", "texts" or "textbusy"

	mu           sync.Mutex
	conns        map[string]*jsonrpc2.Conn
	limiters     map[string]*rate.Limiter
	totalLimiter *rate.Limiter
	textLimiter  *rate.Limiter
	textSlots    chan struct{}
}

// Run serves until ctx ends or the listener fails, and returns after all connections are closed.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "serve") }()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.Listener.Close() })
	defer stop()
	s.totalLimiter = rate.NewLimiter(totalRate, totalBurst)
	s.textLimiter, s.textSlots = rate.NewLimiter(textRate, textBurst), make(chan struct{}, maxConcurrentTexts)
	connSlots, handshakeSlots := make(chan struct{}, maxServerConns), make(chan struct{}, maxConcurrentHandshakes)
	accepts := rate.NewLimiter(acceptRate, acceptBurst)
	for {
		raw, err := s.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if err = accepts.Wait(ctx); err != nil {
			_ = raw.Close()
			return nil
		}
		select {
		case connSlots <- struct{}{}:
		default:
			s.Counter.Count("peer.full")
			_ = raw.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-connSlots }()
			s.serve(ctx, raw, handshakeSlots)
		})
	}
}

// serve authenticates a connection and handles its requests until it is closed.
func (s *Server) serve(ctx context.Context, raw net.Conn, handshakeSlots chan struct{}) {
	defer func() { _ = raw.Close() }() // it may be closed already
	cfg := s.TLS.Clone()
	cfg.NextProtos = []string{protocolText}
	tlsConn := tls.Server(raw, cfg)
	if !s.handshake(ctx, tlsConn, handshakeSlots) {
		s.Counter.Count("peer.handshake")
		return
	}
	state := tlsConn.ConnectionState()
	names := state.PeerCertificates[0].DNSNames
	if len(names) == 0 {
		s.Counter.Count("peer.handshake")
		return
	}
	var h jsonrpc2.Handler = &handler{server: s, peer: names[0], limiter: s.limiter(names[0])}
	key, writeTimeout := names[0], callTimeout
	if state.NegotiatedProtocol == protocolText {
		h, key, writeTimeout = &textHandler{server: s}, names[0]+" "+protocolText, TextTimeout
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(deadlineConn{tlsConn, writeTimeout}, frameCodec{maxFrameBytes}), h, discardLog)
	s.replaceConn(key, conn)
	select {
	case <-ctx.Done():
		_ = conn.Close()
		<-conn.DisconnectNotify()
	case <-conn.DisconnectNotify():
	}
	s.removeConn(key, conn)
}

// handshake reports whether the TLS handshake succeeded within handshakeTimeout; slots limits concurrent handshakes.
func (s *Server) handshake(ctx context.Context, conn *tls.Conn, slots chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-slots }()
	return conn.HandshakeContext(ctx) == nil
}

// replaceConn closes the previous connection with the same key, so that no peer can use up the connection slots.
func (s *Server) replaceConn(key string, conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[string]*jsonrpc2.Conn{}
	}
	if old, ok := s.conns[key]; ok {
		_ = old.Close() // it may be closed already
	}
	s.conns[key] = conn
}

// limiter returns the rate limiter of a peer, which is kept when the peer reconnects.
func (s *Server) limiter(peer string) *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiters == nil || len(s.limiters) >= maxLimiters {
		s.limiters = map[string]*rate.Limiter{}
	}
	if s.limiters[peer] == nil {
		s.limiters[peer] = rate.NewLimiter(callRate, callBurst)
	}
	return s.limiters[peer]
}

// removeConn removes a connection unless a newer one has replaced it.
func (s *Server) removeConn(key string, conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[key] == conn {
		delete(s.conns, key)
	}
}

// handler answers the heartbeats of one connection one at a time, so that a peer cannot make work pile up.
type handler struct {
	server  *Server
	peer    string
	limiter *rate.Limiter
}

// Handle answers one heartbeat; the connection is closed if it is invalid or exceeds the rate limit.
func (h *handler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, reason, err := h.answer(ctx, req)
	if err == nil {
		err = conn.Reply(ctx, req.ID, heartbeat{Data: Encode(reply)})
	}
	if err != nil {
		if reason != "" {
			h.server.Counter.Count("peer." + reason)
		}
		_ = conn.Close() // it may be closed already
	}
}

var errFlood = errors.New("too many requests")

func (h *handler) answer(ctx context.Context, req *jsonrpc2.Request) (reply bergamotmember.Message, reason string, err error) {
	if !h.limiter.AllowN(time.Now(), 1) {
		return reply, "flood", errFlood
	}
	// Waiting instead of rejecting lets peers with a low rate through while others flood.
	if err = h.server.totalLimiter.Wait(ctx); err != nil {
		return reply, "flood", err
	}
	var in heartbeat
	if req.Method != methodHeartbeat || req.Notif || req.Params == nil {
		return reply, "message", oops.Errorf("unexpected request %q", req.Method)
	}
	if err = json.Unmarshal(*req.Params, &in); err != nil {
		return reply, "message", err
	}
	m, err := Decode(in.Data)
	if err != nil {
		return reply, "message", err
	}
	reply, err = h.server.Inbox.Heartbeat(ctx, h.peer, m)
	return reply, "refused", err
}
