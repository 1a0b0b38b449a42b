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

// Row returns the row that the message stands for.
func (m RowMessage) Row() bergamotstore.Row { return bergamotstore.NewRow(m.Key, m.Revision, m.Value) }

// SwapReply is the JSON form of the outcome of a compare-and-set.
type SwapReply struct {
	Swapped bool       `json:"swapped"`
	Row     RowMessage `json:"row"`
}

// Client is the HTTP adapter to the table service.
type Client struct {
	wire    *bergamotwire.Client
	address string
}

// NewClient returns a client for the service at address.
func NewClient(address string) *Client {
	return &Client{wire: bergamotwire.NewClient(), address: address}
}

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// Read returns the row of that key, with revision 0 when it does not exist.
func (c *Client) Read(ctx context.Context, key string) (row bergamotstore.Row, err error) {
	var m RowMessage
	err = c.wire.Post(ctx, c.address, "/table/read", RowMessage{Key: key}, &m)
	return m.Row(), err
}

// Page returns the rows whose keys begin with prefix and come after a key, in order, at most limit.
func (c *Client) Page(ctx context.Context, prefix, after string, limit int) (rows []bergamotstore.Row, err error) {
	var m []RowMessage
	err = c.wire.Post(ctx, c.address, "/table/scan", map[string]any{"prefix": prefix, "after": after, "limit": limit}, &m)
	for _, r := range m {
		rows = append(rows, r.Row())
	}
	return rows, err
}

// CompareAndSet writes value when the row still has the given revision; ok is false, with the current row,
// when it has not. An error other than bergamotstore.ErrRejected leaves open whether the write took effect.
func (c *Client) CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (row bergamotstore.Row, ok bool, err error) {
	var m SwapReply
	err = c.wire.Post(ctx, c.address, "/table/swap", RowMessage{Key: key, Revision: revision, Value: value}, &m)
	var status *bergamotwire.StatusError
	if errors.As(err, &status) && status.Status() < http.StatusInternalServerError {
		err = oops.In("table").Wrapf(bergamotstore.ErrRejected, "swap %s: %s", key, err)
	}
	return m.Row.Row(), m.Swapped, err
}
