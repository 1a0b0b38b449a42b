package bergamotobject

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotstore"
	"bergamotspur/io/bergamotwire"
)

// Client is the HTTP adapter to the object store.
type Client struct {
	wire    *bergamotwire.Client
	address string
}

// NewClient returns a client for the store at address.
func NewClient(address string) *Client {
	return &Client{wire: bergamotwire.NewClient(), address: address}
}

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Put stores data under name; the same name must always get the same data.
func (c *Client) Put(ctx context.Context, name string, data []byte) (err error) {
	defer func() { err = oops.In("object").Wrapf(err, "put %s", name) }()
	_, _, err = c.wire.Do(ctx, http.MethodPut, c.address, "/objects/"+url.PathEscape(name), nil, data)
	return err
}

// Fetch returns the data under name, or bergamotstore.ErrNotFound.
func (c *Client) Fetch(ctx context.Context, name string) (data []byte, err error) {
	defer func() { err = oops.In("object").Wrapf(err, "fetch %s", name) }()
	data, _, err = c.wire.Do(ctx, http.MethodGet, c.address, "/objects/"+url.PathEscape(name), nil, nil)
	var status *bergamotwire.StatusError
	if errors.As(err, &status) && status.Status() == http.StatusNotFound {
		return nil, bergamotstore.ErrNotFound
	}
	return data, err
}
