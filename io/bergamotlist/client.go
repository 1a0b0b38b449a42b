package bergamotlist

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/io/bergamotwire"
)

// StateLeaving is the state of an instance that must get no new requests; any other state counts as live.
const StateLeaving = "leaving"

// maxListBytes limits the decompressed list, so that a damaged one cannot exhaust memory; a list of 3,100 instances
// takes about 0.5 MB.
const maxListBytes = 8 << 20

// InstanceMessage is the JSON form of one listed instance.
type InstanceMessage struct {
	Name            string `json:"name"`
	Address         string `json:"address"`
	Centre          string `json:"centre"`
	Kind            string `json:"kind"`
	Role            string `json:"role"`
	MaxLayers       int    `json:"memory"` // number of layers that fit into its memory
	SupportsFencing bool   `json:"fenced"` // whether it rejects commands with an old fencing token
	State           string `json:"state"`  // StateLeaving, or any other value for live
}

// Client is an HTTP client of the instance list.
type Client struct {
	client  *bergamotwire.Client
	address string
}

// NewClient returns a client for the list at address.
func NewClient(address string) *Client {
	return &Client{client: bergamotwire.NewClient(), address: address}
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.Close() }

// List returns the listed instances, which may be out of date, or an unchanged listing if the list still has the ETag
// tag. It requests a compressed reply, but also reads lists of servers that support neither ETags nor compression.
func (c *Client) List(ctx context.Context, tag string) (l bergamotcontrol.Listing, err error) {
	defer func() { err = oops.In("list").Wrapf(err, "read from %s", c.address) }()
	// If net/http sets this header itself, it decompresses the reply and hides the number of bytes received.
	header := http.Header{"Accept-Encoding": {"gzip"}}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	body, replyHeader, err := c.client.Do(ctx, http.MethodGet, c.address, "/instances", header, nil)
	var status *bergamotwire.StatusError
	if tag != "" && errors.As(err, &status) && status.Status() == http.StatusNotModified {
		return bergamotcontrol.NewUnchangedListing(tag, len(status.Body())), nil
	}
	if err != nil {
		return l, err
	}
	var m []InstanceMessage
	if err = decode(replyHeader, body, &m); err != nil {
		return l, err
	}
	specs := make([]bergamotfleet.Spec, 0, len(m))
	for _, i := range m {
		specs = append(specs, bergamotfleet.Spec{
			Name: i.Name, Address: i.Address, DataCentre: i.Centre, Kind: i.Kind, Role: i.Role,
			MaxLayers: i.MaxLayers, SupportsFencing: i.SupportsFencing, Leaving: i.State == StateLeaving,
		})
	}
	return bergamotcontrol.NewListing(replyHeader.Get("ETag"), len(body), specs), nil
}

// decode decodes a list, which may be compressed with gzip.
func decode(h http.Header, body []byte, m *[]InstanceMessage) (err error) {
	var r io.Reader = bytes.NewReader(body)
	if h.Get("Content-Encoding") == "gzip" {
		if r, err = gzip.NewReader(r); err != nil {
			return err
		}
	}
	data, err := io.ReadAll(io.LimitReader(r, maxListBytes+1))
	if err != nil {
		return err
	}
	if len(data) > maxListBytes {
		return oops.Errorf("the list has more than %d bytes", maxListBytes)
	}
	return json.Unmarshal(data, m)
}
