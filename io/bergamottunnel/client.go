package bergamottunnel

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"bergamotspur/core/bergamotdetour"
	"bergamotspur/io/bergamotwire"
)

// askTimeout is how long a helper may take to answer: it may need reachTimeout for the runner.
const askTimeout = reachTimeout + 40*time.Millisecond

// readBufferSize is the size in bytes of the buffer for what a helper sends.
const readBufferSize = 2 << 10

// Conn is a connection to a runner over a helper.
type Conn struct {
	net.Conn // to the helper
	helper   bergamotdetour.Helper
	frames   frameReader
}

// Helper returns the entry over which the connection goes.
func (c *Conn) Helper() bergamotdetour.Helper { return c.helper }

// Read reads what the runner sends. The error wraps ErrBroken if the helper failed, so that the runner is not at fault.
func (c *Conn) Read(p []byte) (int, error) { return c.frames.Read(p) }

// Write sends bytes to the runner. The error wraps ErrBroken, since only the way to the helper can fail.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	return n, c.frames.broken(err)
}

// ask asks a helper for a connection to the runner at an address that must not break for a time. The connection is nil unless the answer is
// AnswerConnected; left is for how long a helper that is stopping still helps.
func (d *Dialer) ask(ctx context.Context, helper bergamotdetour.Helper, address string, need time.Duration) (
	c *Conn, a bergamotdetour.Answer, left time.Duration,
) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(d.AskTimeout, askTimeout))
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}}
	raw, err := dialer.DialContext(ctx, "tcp", helper.Address())
	if err != nil {
		return nil, bergamotdetour.AnswerSilent, 0
	}
	if c, a, left = handshake(ctx, raw, helper, Loan{Entry: d.Entry, Address: address, Need: need}); c == nil {
		_ = raw.Close() // it is not used
	}
	return c, a, left
}

// handshake requests a tunnel on a new connection to a helper.
func handshake(ctx context.Context, raw net.Conn, helper bergamotdetour.Helper, l Loan) (*Conn, bergamotdetour.Answer, time.Duration) {
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	req := &http.Request{
		Method: http.MethodGet, Host: helper.Address(), URL: &url.URL{Path: Path, RawQuery: "to=" + url.QueryEscape(l.Address)}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Connection": {"Upgrade"}, "Upgrade": {protocol}, fieldEntry: {l.Entry}, fieldNeed: {formatMillis(l.Need)}, "User-Agent": {""}},
	}
	if err := req.Write(raw); err != nil {
		return nil, bergamotdetour.AnswerSilent, 0
	}
	in := bufio.NewReaderSize(raw, readBufferSize)
	resp, err := http.ReadResponse(in, req)
	if err != nil || !stop() || bergamotwire.CheckFields(resp.Header) != nil {
		return nil, bergamotdetour.AnswerSilent, 0
	}
	left, _ := parseMillis(resp.Header.Get(fieldLeft))
	defer func() { _ = resp.Body.Close() }() // it is empty
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, refusal(resp), left
	}
	return &Conn{Conn: raw, helper: helper, frames: frameReader{in: in}}, bergamotdetour.AnswerConnected, left
}

// refusal returns why a helper opened no tunnel. An entry of an older build knows no tunnels.
func refusal(resp *http.Response) bergamotdetour.Answer {
	a := bergamotdetour.Answer(resp.Header.Get(fieldAnswer))
	for _, known := range bergamotdetour.Answers() {
		if a == known && a != bergamotdetour.AnswerConnected {
			return a
		}
	}
	return bergamotdetour.AnswerFull
}

var (
	// ErrNoHelper is the error of a connection that was not opened because the links of this entry are lost and no other entry helps.
	// Nothing is known about the runner.
	ErrNoHelper = errors.New("this entry has lost its links to the runners, and no other entry helps")
	// ErrUnreached is the error of a connection to a runner that helpers do not reach either.
	ErrUnreached = errors.New("other entries do not reach the runner either")
	// errRefused is that of a runner whose address refuses connections: its process has ended.
	errRefused = fmt.Errorf("%w: %w", ErrUnreached, syscall.ECONNREFUSED)
)
