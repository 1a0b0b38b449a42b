package bergamotpeer

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/samber/oops"
	"github.com/sourcegraph/jsonrpc2"

	"bergamotspur/core/bergamotmember"
)

// Fetch returns the object of a bundle text from one peer, over a connection of its own. The caller verifies it: the
// peer may lie.
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
	conn := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(limited{raw, callTimeout}, frames{maxTextJSON}), refuse{}, quiet)
	defer func() { _ = conn.Close() }() // the peer may have closed it
	var out text
	if err = conn.Call(ctx, methodBundle, ask{Name: name}, &out); err != nil {
		return nil, err
	}
	return out.Data, nil
}
