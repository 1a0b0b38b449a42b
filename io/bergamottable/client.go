package bergamottable

import (
	"context"
	"errors"
	"net/http"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotstore"
	"bergamotspur/io/bergamotwire"
)

// RowMessage is the JSON form of a row.
type RowMessage struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    []byte `json:"value"`
}

// Row returns the row that the message encodes.
func (m RowMessage) Row() bergamotstore.Row { return bergamotstore.NewRow(m.Key, m.Revision, m.Value) }

// SwapReply is the JSON form of the result of a compare-and-set: whether it took effect, and the current row.
type SwapReply struct {
	Swapped bool       `json:"swapped"`
	Row     RowMessage `json:"row"`
}

// Client is an HTTP client of the table service.
type Client struct {
	client  *bergamotwire.Client
	address string
}

// NewClient returns a client for the service at address.
func NewClient(address string) *Client {
	return &Client{client: bergamotwire.NewClient(), address: address}
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.Close() }

// Read returns the row with the given key, or a row with revision 0 if it does not exist.
func (c *Client) Read(ctx context.Context, key string) (row bergamotstore.Row, err error) {
	var m RowMessage
	err = c.client.Post(ctx, c.address, "/table/read", RowMessage{Key: key}, &m)
	return m.Row(), err
}

// Page returns up to limit rows, sorted by key, whose keys start with prefix and are greater than after.
func (c *Client) Page(ctx context.Context, prefix, after string, limit int) (rows []bergamotstore.Row, err error) {
	var m []RowMessage
	err = c.client.Post(ctx, c.address, "/table/scan", map[string]any{"prefix": prefix, "after": after, "limit": limit}, &m)
	for _, r := range m {
		rows = append(rows, r.Row())
	}
	return rows, err
}

// CompareAndSet writes value if the row still has the given revision; it returns the current row and reports whether
// value was written. After an error other than bergamotstore.ErrRejected, it is unknown whether the write took effect.
func (c *Client) CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (row bergamotstore.Row, ok bool, err error) {
	var m SwapReply
	err = c.client.Post(ctx, c.address, "/table/swap", RowMessage{Key: key, Revision: revision, Value: value}, &m)
	var status *bergamotwire.StatusError
	if errors.As(err, &status) && status.Status() < http.StatusInternalServerError {
		err = oops.In("table").Wrapf(bergamotstore.ErrRejected, "swap %s: %s", key, err)
	}
	return m.Row.Row(), m.Swapped, err
}
