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

// Limits of requests and connections.
const (
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 16
	maxBodyBytes        = 64 << 20 // also applies to the requests that Read decodes
)

// StatusError is a reply with a status other than 2xx.
type StatusError struct {
	status int
	body   []byte
}

// Error returns the status and the first 200 bytes of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.status, bytes.TrimSpace(e.body[:min(len(e.body), 200)]))
}

// Status returns the status code.
func (e *StatusError) Status() int { return e.status }

// Body returns the body of the reply.
func (e *StatusError) Body() []byte { return e.body }

// Client sends HTTP requests without retries or redirects.
type Client struct {
	client        *http.Client
	maxReplyBytes int64
}

// NewClient returns a client that keeps idle connections and reads replies of up to 64 MiB.
func NewClient() *Client { return newClient(newHTTPTransport(), maxBodyBytes) }

// NewClientWithoutKeepAlive returns a client that opens a new connection for each request.
func NewClientWithoutKeepAlive() *Client {
	t := newHTTPTransport()
	t.DisableKeepAlives = true
	return newClient(t, maxBodyBytes)
}

// NewPollClient returns a client that polls many servers with short requests. It rejects replies of more than
// maxReplyBytes and closes connections that are idle for idleTimeout: each one holds two goroutines and two buffers.
func NewPollClient(idleTimeout time.Duration, maxReplyBytes int64) *Client {
	t := newHTTPTransport()
	t.IdleConnTimeout = idleTimeout
	t.MaxIdleConnsPerHost = 1
	// The request and the reply fit into one packet each, so the Accept-Encoding header would only add bytes.
	t.DisableCompression = true
	return newClient(t, maxReplyBytes)
}

func newClient(t *http.Transport, maxReplyBytes int64) *Client {
	return &Client{maxReplyBytes: maxReplyBytes, client: &http.Client{
		Transport: &Transport{Next: t},
		// Following a 307 would send the body a second time, to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Wrap replaces the transport by what wrap returns for it. It has to be called before the first request.
func (c *Client) Wrap(wrap func(http.RoundTripper) http.RoundTripper) {
	c.client.Transport = wrap(c.client.Transport)
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Post sends in as JSON and decodes the JSON reply into out, which may be nil; a status other than 2xx is a
// *StatusError.
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

// Get decodes the JSON reply into out; a status other than 2xx is a *StatusError.
func (c *Client) Get(ctx context.Context, address, path string, out any) (err error) {
	defer func() { err = oops.In("wire").Wrapf(err, "get %s%s", address, path) }()
	body, _, err := c.Do(ctx, http.MethodGet, address, path, nil, nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, out)
}

// Do sends one request and returns the body and headers of a 2xx reply; any other status is a *StatusError, and a reply
// above the size limit is an error.
func (c *Client) Do(ctx context.Context, method, address, path string, header http.Header, data []byte) (body []byte, h http.Header, err error) {
	resp, err := c.Open(ctx, method, address, path, header, data)
	if err != nil {
		return nil, nil, err
	}
	defer func() { err = errors.Join(err, resp.Body.Close()) }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, c.maxReplyBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(body)) > c.maxReplyBytes {
		// A truncated reply must not pass for a complete one.
		return nil, nil, fmt.Errorf("reply is larger than %d bytes", c.maxReplyBytes)
	}
	if resp.StatusCode/100 != 2 {
		return nil, nil, &StatusError{status: resp.StatusCode, body: body}
	}
	return body, resp.Header, nil
}

// Open sends one request and returns the reply, whose body the caller reads and closes.
func (c *Client) Open(ctx context.Context, method, address, path string, header http.Header, data []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, singleUseReader(data))
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

// singleUseReader returns a reader of data that hides its concrete type, so that net/http sets no GetBody and cannot
// send the body a second time.
func singleUseReader(data []byte) io.Reader {
	if len(data) == 0 {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(data)}
}
