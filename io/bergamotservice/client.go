package bergamotservice

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/io/bergamotwire"
)

// Client is the HTTP adapter to plain services.
type Client struct{ wire *bergamotwire.Client }

// NewClient returns a client.
func NewClient() *Client { return &Client{wire: bergamotwire.NewClient()} }

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Call sends the call once. bergamotfilter.ErrNotSent is in the error's chain when no connection was made.
// A status below 500 is the service's answer, not an error.
func (c *Client) Call(ctx context.Context, address string, r *bergamotrequest.Request) (reply bergamotrequest.Reply, err error) {
	defer func() { err = oops.In("service").Wrapf(err, "call %s/%s at %s", r.Service(), r.Call(), address) }()
	// The name of the header differs from Idempotency-Key, which makes net/http repeat a request by itself.
	header := http.Header{"Bergamot-Call": {r.Idem()}, "Content-Type": {"application/json"}}
	body, h, err := c.wire.Do(ctx, http.MethodPost, address, "/"+url.PathEscape(r.Call()), header, r.Body())
	var status *bergamotwire.StatusError
	var dial *net.OpError
	switch {
	case errors.As(err, &status) && status.Status() < http.StatusInternalServerError:
		return bergamotrequest.NewReply(status.Status(), "application/json", status.Body()), nil
	case errors.As(err, &dial) && dial.Op == "dial":
		return reply, errors.Join(err, bergamotfilter.ErrNotSent)
	case err != nil:
		return reply, err
	}
	return bergamotrequest.NewReply(http.StatusOK, h.Get("Content-Type"), body), nil
}
