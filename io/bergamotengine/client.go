package bergamotengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/io/bergamotwire"
)

// Limits of probes. At 20 probes/s of other runners each time 5 s keep 100 connections open; a fleet that is
// probed every second keeps its connections.
const (
	probeIdle  = 5 * time.Second
	probeLimit = 64 << 10 // bytes of a report, so that a damaged engine cannot fill the memory of an entry
)

// Client is the HTTP adapter to engines.
type Client struct {
	wire    *bergamotwire.Client
	streams *bergamotwire.Client // opens a new connection for each stream
	probe   *bergamotwire.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		wire: bergamotwire.NewClient(), streams: bergamotwire.NewClientWithoutKeepAlive(),
		probe: bergamotwire.NewPollClient(probeIdle, probeLimit),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.wire.Close()
	c.streams.Close()
	c.probe.Close()
}

// Open prepares a span on an engine.
func (c *Client) Open(ctx context.Context, address string, s bergamotsession.Span) error {
	return c.post(ctx, address, "/span/open", NewSpanMessage(s), nil)
}

// Start begins the generation at the first stage.
func (c *Client) Start(ctx context.Context, address string, s bergamotsession.Span, p bergamotsession.Prefix) error {
	m := StartMessage{
		Session: s.Session(), Attempt: s.Attempt(), Prompt: p.Prompt(), Tokens: p.Tokens(), Limit: p.Limit(), Seed: p.Seed(),
	}
	return c.post(ctx, address, "/span/start", m, nil)
}

// Stream opens the token stream of the last stage at position from.
func (c *Client) Stream(ctx context.Context, address string, s bergamotsession.Span, from int) (stream bergamotsession.TokenStream, err error) {
	defer func() { err = oops.In("engine").Wrapf(err, "stream from %s", address) }()
	q := url.Values{
		"session": {s.Session()}, "attempt": {fmt.Sprint(s.Attempt())}, "from": {fmt.Sprint(from)},
	}
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.streams.Open(ctx, http.MethodGet, address, "/span/stream?"+q.Encode(), nil, nil)
	if err != nil {
		cancel()
		return nil, classify(err)
	}
	if resp.StatusCode != http.StatusOK {
		cancel()
		// The reply is refused whatever its body says.
		_ = resp.Body.Close()
		return nil, refusal(resp.StatusCode, oops.Errorf("status %d", resp.StatusCode))
	}
	return newStream(resp.Body, cancel), nil
}

// Cancel ends a span.
func (c *Client) Cancel(ctx context.Context, address string, s bergamotsession.Span) error {
	return c.post(ctx, address, "/span/cancel", NewSpanMessage(s), nil)
}

// Import has an engine pull KV cache from another one.
func (c *Client) Import(ctx context.Context, address string, s bergamotsession.Span, i bergamotsession.Import) error {
	m := ImportMessage{
		Session: s.Session(), Attempt: s.Attempt(), Source: i.Source(), Of: i.Attempt(),
		From: i.From(), To: i.To(), Position: i.Position(),
	}
	return c.post(ctx, address, "/span/import", m, nil)
}

// Progress asks an engine what it has done for a span.
func (c *Client) Progress(ctx context.Context, address string, s bergamotsession.Span) (p bergamotsession.Progress, err error) {
	var m ProgressMessage
	if err = c.post(ctx, address, "/span/progress", NewSpanMessage(s), &m); err != nil {
		return p, err
	}
	return bergamotsession.NewProgress(m.Steps, time.Duration(m.Batch)*time.Millisecond), nil
}

// post sends a command. After a command without an answer the idle connections are closed, so that the next
// command uses a new one: a middlebox that lost the state of one connection may have lost the others.
func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	err := c.wire.Post(ctx, address, path, in, out)
	if err != nil && ctx.Err() != nil {
		c.wire.Close()
	}
	return classify(err)
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
	defer func() { err = oops.In("engine").Wrapf(err, "probe %s", address) }()
	// An empty value keeps net/http from sending its own name.
	body, _, err := c.probe.Do(ctx, http.MethodGet, address, "/load", http.Header{"User-Agent": {""}}, nil)
	if err != nil {
		return r, err
	}
	var m LoadMessage
	if err = json.Unmarshal(body, &m); err != nil {
		return r, err
	}
	holdings := make([]bergamotfleet.Holding, len(m.Holdings))
	for n, h := range m.Holdings {
		holdings[n] = bergamotfleet.NewHolding(h.Model, h.Version, h.From, h.To, h.Adapters...)
	}
	return bergamotcontrol.NewReport(m.Running, m.Queued, m.Leaving, holdings), nil
}
