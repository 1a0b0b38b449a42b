package bergamotweight

import (
	"context"
	"time"

	"bergamotspur/io/bergamotwire"
)

// ReserveMessage is the JSON form of a request to load layers.
type ReserveMessage struct {
	Layers int `json:"layers"`
}

// ReserveReply is the JSON form of the answer; the right to load is given when wait is 0.
type ReserveReply struct {
	Wait int64 `json:"wait"` // milliseconds
}

// Client is the HTTP adapter to the weight store.
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

// Reserve asks for the right to load layers now. When wait is not 0 it was not given; ask again after that time.
// After a lost reply the rate may have been used up, which only delays the next load.
func (c *Client) Reserve(ctx context.Context, layers int) (wait time.Duration, err error) {
	var m ReserveReply
	err = c.wire.Post(ctx, c.address, "/weights/reserve", ReserveMessage{Layers: layers}, &m)
	return time.Duration(m.Wait) * time.Millisecond, err
}
