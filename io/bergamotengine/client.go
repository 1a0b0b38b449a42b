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

// Limits of probes. When each probe goes to another runner, 20 probes/s keep 100 connections open with an idle
// timeout of 5 s; runners that are probed every second keep their connections.
const (
	probeIdleTimeout = 5 * time.Second
	maxReportBytes   = 64 << 10 // keeps a faulty engine from filling the memory of an entry
)

// Client calls model engines over HTTP; the errors of its calls for a span wrap bergamotsession.ErrConnectionRefused,
// ErrLeaving or ErrSpanRejected where one of them is the cause.
type Client struct {
	wire    *bergamotwire.Client // for commands and cache events
	streams *bergamotwire.Client // opens a new connection for each stream
	probes  *bergamotwire.Client
}

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{
		wire: bergamotwire.NewClient(), streams: bergamotwire.NewClientWithoutKeepAlive(),
		probes: bergamotwire.NewPollClient(probeIdleTimeout, maxReportBytes),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.wire.Close()
	c.streams.Close()
	c.probes.Close()
}

// Open prepares a span on an engine.
func (c *Client) Open(ctx context.Context, address string, s bergamotsession.Span) error {
	return c.post(ctx, address, "/span/open", NewSpanMessage(s), nil)
}

// Start starts the generation at the first stage.
func (c *Client) Start(ctx context.Context, address string, s bergamotsession.Span, p bergamotsession.Prefix) error {
	m := StartMessage{
		Session: s.Session(), Attempt: s.Attempt(), Prompt: p.Prompt(), Tokens: p.Tokens(), Limit: p.Limit(), Seed: p.Seed(),
	}
	return c.post(ctx, address, "/span/start", m, nil)
}

// Stream opens the token stream of the last stage; its first token is the one at position from.
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
		// The status alone decides, so an error while closing the unread body does not matter.
		_ = resp.Body.Close()
		return nil, classifyStatus(resp.StatusCode, oops.Errorf("status %d", resp.StatusCode))
	}
	return newStream(resp.Body, cancel), nil
}

// Cancel cancels a span.
func (c *Client) Cancel(ctx context.Context, address string, s bergamotsession.Span) error {
	return c.post(ctx, address, "/span/cancel", NewSpanMessage(s), nil)
}

// Import makes an engine fetch KV cache from another engine.
func (c *Client) Import(ctx context.Context, address string, s bergamotsession.Span, i bergamotsession.Import) error {
	m := ImportMessage{
		Session: s.Session(), Attempt: s.Attempt(), Source: i.Source(), SourceAttempt: i.Attempt(),
		From: i.From(), To: i.To(), Position: i.Position(),
	}
	return c.post(ctx, address, "/span/import", m, nil)
}

// Progress returns how many steps an engine has run for a span and the age of its running batch.
func (c *Client) Progress(ctx context.Context, address string, s bergamotsession.Span) (p bergamotsession.Progress, err error) {
	var m ProgressMessage
	if err = c.post(ctx, address, "/span/progress", NewSpanMessage(s), &m); err != nil {
		return p, err
	}
	return bergamotsession.NewProgress(m.Steps, time.Duration(m.BatchAgeMs)*time.Millisecond), nil
}

// post sends a command. If ctx ends before the reply, post closes the idle connections so that the next command opens
// a new one: a middlebox that lost the state of one connection may have lost that of the others.
func (c *Client) post(ctx context.Context, address, path string, in, out any) error {
	err := c.wire.Post(ctx, address, path, in, out)
	if err != nil && ctx.Err() != nil {
		c.wire.Close()
	}
	return classify(err)
}

// Order sends an engine the complete list of the layers and adapters to hold; the engine may ignore the fencing token.
func (c *Client) Order(ctx context.Context, address string, fencingToken int64, holdings []bergamotfleet.Holding) error {
	m := OrderMessage{FencingToken: fencingToken, Holdings: []HoldingMessage{}}
	for _, h := range holdings {
		m.Holdings = append(m.Holdings, HoldingMessage{
			Model: h.Model(), Version: h.Version(), From: h.From(), To: h.To(), Adapters: h.Adapters(),
		})
	}
	return c.wire.Post(ctx, address, "/order", m, nil)
}

// Probe returns the load and the holdings that an engine reports; replies above 64 KiB are an error.
func (c *Client) Probe(ctx context.Context, address string) (r bergamotcontrol.Report, err error) {
	defer func() { err = oops.In("engine").Wrapf(err, "probe %s", address) }()
	// An empty User-Agent keeps net/http from adding its default one, which saves bytes.
	body, _, err := c.probes.Do(ctx, http.MethodGet, address, "/load", http.Header{"User-Agent": {""}}, nil)
	if err != nil {
		return r, err
	}
	var m ReportMessage
	if err = json.Unmarshal(body, &m); err != nil {
		return r, err
	}
	holdings := make([]bergamotfleet.Holding, len(m.Holdings))
	for n, h := range m.Holdings {
		holdings[n] = bergamotfleet.NewHolding(h.Model, h.Version, h.From, h.To, h.Adapters...)
	}
	return bergamotcontrol.NewReport(m.Running, m.Queued, m.Leaving, holdings), nil
}
