package bergamotengine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/io/bergamotwire"
)

// Client is the HTTP adapter to engines.
type Client struct{ wire *bergamotwire.Client }

// NewClient returns a client.
func NewClient() *Client { return &Client{wire: bergamotwire.NewClient()} }

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Open prepares a span on an engine.
func (c *Client) Open(ctx context.Context, address string, s bergamotsession.Span) error {
	return c.wire.Post(ctx, address, "/span/open", NewSpanMessage(s), nil)
}

// Start begins the generation at the first stage.
func (c *Client) Start(ctx context.Context, address string, s bergamotsession.Span, p bergamotsession.Prefix) error {
	m := StartMessage{
		Session: s.Session(), Attempt: s.Attempt(), Prompt: p.Prompt(), Tokens: p.Tokens(), Limit: p.Limit(), Seed: p.Seed(),
	}
	return c.wire.Post(ctx, address, "/span/start", m, nil)
}

// Stream opens the token stream of the last stage at position from.
func (c *Client) Stream(ctx context.Context, address string, s bergamotsession.Span, from int) (stream bergamotsession.TokenStream, err error) {
	defer func() { err = oops.In("engine").Wrapf(err, "stream from %s", address) }()
	q := url.Values{
		"session": {s.Session()}, "attempt": {fmt.Sprint(s.Attempt())}, "from": {fmt.Sprint(from)},
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.wire.Open(ctx, http.MethodGet, address, "/span/stream?"+q.Encode(), nil, nil)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		return nil, oops.Errorf("status %d", resp.StatusCode)
	}
	return newStream(resp.Body, cancel), nil
}

// Cancel ends a span.
func (c *Client) Cancel(ctx context.Context, address string, s bergamotsession.Span) error {
	return c.wire.Post(ctx, address, "/span/cancel", NewSpanMessage(s), nil)
}

// Order tells an engine all that it should hold; the engine may ignore the fencing number.
func (c *Client) Order(ctx context.Context, address string, number int64, holdings []bergamotfleet.Holding) error {
	m := OrderMessage{Number: number, Holdings: []HoldingMessage{}}
	for _, h := range holdings {
		m.Holdings = append(m.Holdings, HoldingMessage{
			Model: h.Model(), Version: h.Version(), From: h.From(), To: h.To(), Adapters: h.Adapters(),
		})
	}
	return c.wire.Post(ctx, address, "/order", m, nil)
}

// Probe returns an engine's report about itself.
func (c *Client) Probe(ctx context.Context, address string) (r bergamotcontrol.Report, err error) {
	var m LoadMessage
	if err = c.wire.Get(ctx, address, "/load", &m); err != nil {
		return r, err
	}
	holdings := make([]bergamotfleet.Holding, len(m.Holdings))
	for n, h := range m.Holdings {
		holdings[n] = bergamotfleet.NewHolding(h.Model, h.Version, h.From, h.To, h.Adapters...)
	}
	return bergamotcontrol.NewReport(m.Running, m.Queued, m.Leaving, holdings), nil
}
