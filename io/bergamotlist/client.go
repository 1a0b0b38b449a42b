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

// StateLeaving is the state of an instance that is leaving; any other state counts as live.
const StateLeaving = "leaving"

// maxList bounds a list in bytes, so that a damaged one cannot fill the memory; one of 3,100 takes about 0.5 MB.
const maxList = 8 << 20

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

// List returns the listed instances, which may be out of date, or that the content named by tag is still current.
// It asks for a compressed reply; a list that knows neither tags nor compression is read whole.
func (c *Client) List(ctx context.Context, tag string) (l bergamotcontrol.Listing, err error) {
	defer func() { err = oops.In("list").Wrapf(err, "read from %s", c.address) }()
	// net/http unpacks replies only when it has set this header itself, and then hides the bytes received.
	header := http.Header{"Accept-Encoding": {"gzip"}}
	if tag != "" {
		header.Set("If-None-Match", tag)
	}
	body, h, err := c.wire.Do(ctx, http.MethodGet, c.address, "/instances", header, nil)
	var status *bergamotwire.StatusError
	if tag != "" && errors.As(err, &status) && status.Status() == http.StatusNotModified {
		return bergamotcontrol.NewUnchangedListing(tag, len(status.Body())), nil
	}
	if err != nil {
		return l, err
	}
	var m []InstanceMessage
	if err = decode(h, body, &m); err != nil {
		return l, err
	}
	list := make([]bergamotfleet.Spec, 0, len(m))
	for _, i := range m {
		list = append(list, bergamotfleet.Spec{
			Name: i.Name, Address: i.Address, DataCentre: i.Centre, Kind: i.Kind, Role: i.Role,
			MaxLayers: i.Memory, SupportsFencing: i.Fenced, Leaving: i.State == StateLeaving,
		})
	}
	return bergamotcontrol.NewListing(h.Get("ETag"), len(body), list), nil
}

func decode(h http.Header, body []byte, m *[]InstanceMessage) (err error) {
	var r io.Reader = bytes.NewReader(body)
	if h.Get("Content-Encoding") == "gzip" {
		if r, err = gzip.NewReader(r); err != nil {
			return err
		}
	}
	data, err := io.ReadAll(io.LimitReader(r, maxList+1))
	if err != nil {
		return err
	}
	if len(data) > maxList {
		return oops.Errorf("the list has more than %d bytes", maxList)
	}
	return json.Unmarshal(data, m)
}
