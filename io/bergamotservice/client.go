package bergamotservice

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/io/bergamotwire"
)

// callNameHeader holds the unique name of a call that may not be repeated. Idempotency-Key is not used for this because
// net/http retries requests that have it.
const callNameHeader = "Bergamot-Call"

// Client calls services over HTTP.
type Client struct{ wire *bergamotwire.Client }

// NewClient returns a client without open connections.
func NewClient() *Client { return &Client{wire: bergamotwire.NewClient()} }

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Call sends the call once and returns a reply with a status of 2xx or 4xx as the answer of the service. The error
// wraps bergamotfilter.ErrNotSent when no connection was made; after any other error it is unknown whether the call ran.
func (c *Client) Call(ctx context.Context, address, name string, r *bergamotrequest.Request) (reply bergamotrequest.Reply, err error) {
	defer func() { err = oops.In("service").Wrapf(err, "call %s/%s at %s", r.Service(), r.Call(), address) }()
	header := http.Header{"Content-Type": {"application/json"}}
	if name != "" {
		header.Set(callNameHeader, name)
	}
	var connected atomic.Bool
	traceCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	body, h, err := c.wire.Do(traceCtx, http.MethodPost, address, "/"+url.PathEscape(r.Call()), header, r.Body())
	var status *bergamotwire.StatusError
	switch {
	case errors.As(err, &status) && status.Status()/100 == 4:
		return bergamotrequest.NewReply(status.Status(), "application/json", status.Body()), nil
	case err != nil && !connected.Load():
		return reply, errors.Join(err, bergamotfilter.ErrNotSent)
	case err != nil:
		return reply, err
	}
	return bergamotrequest.NewReply(http.StatusOK, h.Get("Content-Type"), body), nil
}

// Ask sends name to call, which the service provides for this query, and reports whether the call of that name ran.
func (c *Client) Ask(ctx context.Context, address, call, name string) (ran bool, err error) {
	defer func() { err = oops.In("service").Wrapf(err, "ask %s at %s", call, address) }()
	data, _, err := c.wire.Do(ctx, http.MethodPost, address, "/"+url.PathEscape(call), nil, []byte(name))
	if err != nil {
		return false, err
	}
	var m struct {
		Ran *bool `json:"ran"`
	}
	if err = json.Unmarshal(data, &m); err != nil {
		return false, err
	}
	if m.Ran == nil {
		return false, errors.New("reply without the field ran")
	}
	return *m.Ran, nil
}
