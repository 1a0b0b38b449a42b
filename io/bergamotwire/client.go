package bergamotwire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"
)

// Limits of a connection.
const (
	dialTimeout = 2 * time.Second
	idlePerHost = 16
	maxBody     = 64 << 20 // bytes of a reply that are read
)

// StatusError is a reply with a status other than 2xx.
type StatusError struct {
	status int
	body   []byte
}

// Error returns the status and the start of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, bytes.TrimSpace(e.body[:min(len(e.body), 200)]))
}

// Status returns the status code.
func (e *StatusError) Status() int { return e.status }

// Body returns the content.
func (e *StatusError) Body() []byte { return e.body }

// Client sends requests to one kind of server.
type Client struct {
	client *http.Client
	limit  int64 // bytes of a reply that are read
}

// NewClient returns a client that follows no redirects.
func NewClient() *Client { return newClient(NewTransport(), maxBody) }

// NewFreshClient returns a client that opens a new connection for each request.
func NewFreshClient() *Client {
	t := NewTransport()
	t.DisableKeepAlives = true
	return newClient(t, maxBody)
}

// NewPollClient returns a client for short questions to many servers. It reads at most limit bytes of a reply and
// closes connections that are idle for more than the given time: each holds two goroutines and two buffers.
func NewPollClient(idle time.Duration, limit int64) *Client {
	t := NewTransport()
	t.IdleConnTimeout = idle
	t.MaxIdleConnsPerHost = 1
	// A question and its answer fit into one packet each, so that the header for compression only costs bytes.
	t.DisableCompression = true
	return newClient(t, limit)
}

func newClient(t *http.Transport, limit int64) *Client {
	return &Client{limit: limit, client: &http.Client{
		Transport: t,
		// A followed 307 would send the body to another server a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Post sends in as JSON and decodes the reply into out, which may be nil.
func (c *Client) Post(ctx context.Context, address, path string, in, out any) (err error) {
	defer func() { err = oops.In("wire").Wrapf(err, "post %s%s", address, path) }()
	data, err := json.Marshal(in)
	if err != nil {
		return err
	}
	body, _, err := c.Do(ctx, http.MethodPost, address, path, nil, data)
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Get decodes the reply into out.
func (c *Client) Get(ctx context.Context, address, path string, out any) (err error) {
	defer func() { err = oops.In("wire").Wrapf(err, "get %s%s", address, path) }()
	body, _, err := c.Do(ctx, http.MethodGet, address, path, nil, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Do sends one request and returns the body and headers of a 2xx reply; any other status is a *StatusError.
func (c *Client) Do(ctx context.Context, method, address, path string, header http.Header, data []byte) (body []byte, h http.Header, err error) {
	resp, err := c.Open(ctx, method, address, path, header, data)
	if err != nil {
		return nil, nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, c.limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(body)) > c.limit {
		// A part of an answer must not be taken for the whole.
		return nil, nil, fmt.Errorf("reply is larger than %d bytes", c.limit)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, &StatusError{status: resp.StatusCode, body: body}
	}
	return body, resp.Header, nil
}

// Open sends one request and returns the reply with its body unread.
func (c *Client) Open(ctx context.Context, method, address, path string, header http.Header, data []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, onceReader(data))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(data))
	if header != nil {
		req.Header = header.Clone()
	}
	if req.Header.Get("Content-Type") == "" && len(data) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return c.client.Do(req)
}

// onceReader hides the type of the reader, so that net/http sets no GetBody and cannot send the body twice.
func onceReader(data []byte) io.Reader {
	if len(data) == 0 {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(data)}
}
