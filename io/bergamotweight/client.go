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

// ReserveReply is the JSON form of the reply; the load is granted when WaitMs is 0.
type ReserveReply struct {
	WaitMs int64 `json:"wait"` // time until the next try
}

// Client calls the weight store over HTTP.
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

// Reserve requests the right to load that many layers now; a wait above 0 means that it was not granted and is the time
// until the next try. A load whose reply is lost may count against the rate, which only delays the next load.
func (c *Client) Reserve(ctx context.Context, layers int) (wait time.Duration, err error) {
	var m ReserveReply
	err = c.wire.Post(ctx, c.address, "/weights/reserve", ReserveMessage{Layers: layers}, &m)
	return time.Duration(m.WaitMs) * time.Millisecond, err
}
