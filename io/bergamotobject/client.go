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

// Client is an HTTP client of the object store.
type Client struct {
	client  *bergamotwire.Client
	address string
}

// NewClient returns a client for the store at address.
func NewClient(address string) *Client {
	return &Client{client: bergamotwire.NewClient(), address: address}
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.Close() }

// Put stores data under name. Objects are immutable: a name must always be stored with the same data.
func (c *Client) Put(ctx context.Context, name string, data []byte) (err error) {
	defer func() { err = oops.In("object").Wrapf(err, "put %s", name) }()
	_, _, err = c.client.Do(ctx, http.MethodPut, c.address, "/objects/"+url.PathEscape(name), nil, data)
	return err
}

// Fetch returns the data under name, or bergamotstore.ErrNotFound if there is none.
func (c *Client) Fetch(ctx context.Context, name string) (data []byte, err error) {
	defer func() { err = oops.In("object").Wrapf(err, "fetch %s", name) }()
	data, _, err = c.client.Do(ctx, http.MethodGet, c.address, "/objects/"+url.PathEscape(name), nil, nil)
	var status *bergamotwire.StatusError
	if errors.As(err, &status) && status.Status() == http.StatusNotFound {
		return nil, bergamotstore.ErrNotFound
	}
	return data, err
}
