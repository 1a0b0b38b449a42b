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

// Bounds of what peers can ask of this entry. About 5 peers have this one as a partner, each with one heartbeat in
// 2 s; of two entries, one gets 2.5 a second of the other.
const (
	maxIn         = 64 // connections
	maxHandshakes = 4  // handshakes at the same time
	callRate      = 4  // heartbeats a second of one peer
	callBurst     = 20
	totalRate     = 8 // heartbeats a second of all peers; replies of 1.6 KB to them take 13 KB/s
	totalBurst    = 40
	acceptRate    = 2 // handshakes a second; one takes 3.9 KB and about 1.2 ms of a core
	acceptBurst   = 32
	maxLimits     = 2048 // peers whose rate is remembered
)

// Inbox takes the heartbeats of authenticated peers.
type Inbox interface {
	Heartbeat(ctx context.Context, peer string, m bergamotmember.Message) (bergamotmember.Message, error)
}

// Counter counts events by name.
type Counter interface{ Count(name string) }

// Server receives heartbeats.
type Server struct {
	Listener net.Listener
	TLS      *tls.Config
	Inbox    Inbox
	Texts    Texts   // gives bundle texts to peers; nil for none
	Counter  Counter // counts "peer." followed by "full", "handshake", "flood", "message", "refused", "texts" or "textbusy"

	mu      sync.Mutex
	conns   map[string]*jsonrpc2.Conn
	limits  map[string]*rate.Limiter
	total   *rate.Limiter
	texts   *rate.Limiter
	sending chan struct{}
}

// Run serves until ctx ends and returns when all connections are closed.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "serve") }()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.Listener.Close() })
	defer stop()
	s.total = rate.NewLimiter(totalRate, totalBurst)
	s.texts, s.sending = rate.NewLimiter(textRate, textBurst), make(chan struct{}, maxTexts)
	slots, shaking := make(chan struct{}, maxIn), make(chan struct{}, maxHandshakes)
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
		case slots <- struct{}{}:
		default:
			s.Counter.Count("peer.full")
			_ = raw.Close()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			s.serve(ctx, raw, shaking)
		})
	}
}

func (s *Server) serve(ctx context.Context, raw net.Conn, shaking chan struct{}) {
	defer func() { _ = raw.Close() }() // it may be closed already
	cfg := s.TLS.Clone()
	cfg.NextProtos = []string{protocolText}
	secure := tls.Server(raw, cfg)
	if !s.shake(ctx, secure, shaking) {
		s.Counter.Count("peer.handshake")
		return
	}
	state := secure.ConnectionState()
	names := state.PeerCertificates[0].DNSNames
	if len(names) == 0 {
		s.Counter.Count("peer.handshake")
		return
	}
	var h jsonrpc2.Handler = &handler{server: s, peer: names[0], limit: s.limit(names[0])}
	key, write := names[0], callTimeout
	if state.NegotiatedProtocol == protocolText {
		h, key, write = &textHandler{server: s}, names[0]+" "+protocolText, TextTimeout
	}
	conn := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(limited{secure, write}, frames{maxFrame}), h, quiet)
	s.replace(key, conn)
	select {
	case <-ctx.Done():
		_ = conn.Close()
		<-conn.DisconnectNotify()
	case <-conn.DisconnectNotify():
	}
	s.remove(key, conn)
}

func (s *Server) shake(ctx context.Context, secure *tls.Conn, shaking chan struct{}) bool {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	select {
	case shaking <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-shaking }()
	return secure.HandshakeContext(ctx) == nil
}

// replace keeps one connection for each peer, so that no peer takes the room of others.
func (s *Server) replace(peer string, conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[string]*jsonrpc2.Conn{}
	}
	if old, ok := s.conns[peer]; ok {
		_ = old.Close() // it may be closed already
	}
	s.conns[peer] = conn
}

// limit returns the rate limit of a peer, which a new connection does not reset.
func (s *Server) limit(peer string) *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits == nil || len(s.limits) >= maxLimits {
		s.limits = map[string]*rate.Limiter{}
	}
	if s.limits[peer] == nil {
		s.limits[peer] = rate.NewLimiter(callRate, callBurst)
	}
	return s.limits[peer]
}

func (s *Server) remove(peer string, conn *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[peer] == conn {
		delete(s.conns, peer)
	}
}

// handler answers the requests of one connection one after another, so that a peer cannot make work pile up.
type handler struct {
	server *Server
	peer   string
	limit  *rate.Limiter
}

// Handle answers one request; a peer that sends too many or an invalid one loses its connection.
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
	if !h.limit.AllowN(time.Now(), 1) {
		return reply, "flood", errFlood
	}
	// Waiting instead of refusing lets a peer that sends little through while others flood.
	if err = h.server.total.Wait(ctx); err != nil {
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
