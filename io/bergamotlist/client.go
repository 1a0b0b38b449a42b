package bergamotlist

import (
	"context"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/io/bergamotwire"
)

// StateLeaving is the state of an instance that is leaving; any other state counts as live.
const StateLeaving = "leaving"

// InstanceMessage is the JSON form of one listed instance.
type InstanceMessage struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Centre  string `json:"centre"`
	Kind    string `json:"kind"`
	Role    string `json:"role"`
	Memory  int    `json:"memory"`
	Fenced  bool   `json:"fenced"`
	State   string `json:"state"`
}

// Client is the HTTP adapter to the instance list.
type Client struct {
	wire    *bergamotwire.Client
	address string
}

// NewClient returns a client for the list at address.
func NewClient(address string) *Client {
	return &Client{wire: bergamotwire.NewClient(), address: address}
}

// Close closes idle connections.
func (c *Client) Close() { c.wire.Close() }

// List returns the listed instances, which may be out of date.
func (c *Client) List(ctx context.Context) (list []bergamotfleet.Spec, err error) {
	var m []InstanceMessage
	if err = c.wire.Get(ctx, c.address, "/instances", &m); err != nil {
		return nil, err
	}
	for _, i := range m {
		list = append(list, bergamotfleet.Spec{
			Name: i.Name, Address: i.Address, Centre: i.Centre, Kind: i.Kind, Role: i.Role,
			Memory: i.Memory, Fenced: i.Fenced, Leaving: i.State == StateLeaving,
		})
	}
	return list, nil
}
