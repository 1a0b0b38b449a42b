package bergamotpeer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"

	"bergamotspur/core/bergamotmember"
)

// Fetch returns the object of a bundle text from one peer, over a separate connection. The caller must verify it, since
// the peer is not trusted to send the right one.
func (c *Client) Fetch(ctx context.Context, from bergamotmember.Peer, name string) (data []byte, err error) {
	defer func() { err = oops.In("peer").Wrapf(err, "fetch %s from %s", name, from.Name()) }()
	ctx, cancel := context.WithTimeout(ctx, TextTimeout)
	defer cancel()
	cfg := c.TLS.Clone()
	cfg.ServerName, cfg.NextProtos = from.Name(), []string{protocolText}
	dialer := &tls.Dialer{NetDialer: &net.Dialer{}, Config: cfg}
	raw, err := dialer.DialContext(ctx, "tcp", from.Address())
	if err != nil {
		return nil, err
	}
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(deadlineConn{raw, callTimeout}, frameCodec{maxTextFrameBytes}), ignoreRequests{}, discardLog)
	defer func() { _ = conn.Close() }() // the peer may have closed it
	var out textReply
	if err = conn.Call(ctx, methodBundle, textRequest{Name: name}, &out); err != nil {
		return nil, err
	}
	return out.Data, nil
}
