package bergamotreplication

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotload"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotrate"
	"bergamotspur/io/bergamotwire"
)

// Client sends queries to other entries over connections that it keeps open.
type Client struct {
	client *bergamotwire.Client
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{client: bergamotwire.NewClient()} }

// Wrap replaces the transport by what wrap returns for it. It has to be called before the first query.
func (c *Client) Wrap(wrap func(http.RoundTripper) http.RoundTripper) { c.client.Wrap(wrap) }

// Ask returns the reply of the entry to; self is the address at which others can follow the entry that asks. A reply of
// another entry that has taken over the address is an error.
func (c *Client) Ask(ctx context.Context, to, self bergamotmirror.Peer, q bergamotmirror.Query) (r bergamotmirror.Reply, err error) {
	defer func() { err = oops.In("replication").Wrapf(err, "ask %s for %s", to.Name(), q.Table()) }()
	in := query{
		Entry: q.Entry(), Address: self.Address(), Table: q.Table(), Era: q.Position().Era(), Version: q.Position().Number(), Time: q.StoreTime(), Wait: q.Wait(), Entries: q.Entries(),
	}
	var out reply
	if err = c.client.Post(ctx, to.Address(), pathFollow, in, &out); err != nil {
		return r, err
	}
	if n := len(out.Path); n > 0 && out.Path[n-1] != to.Name() {
		return r, fmt.Errorf("%s answers at the address", out.Path[n-1])
	}
	if slices.Contains(out.Path, "") {
		return r, fmt.Errorf("the path %q has an entry without a name", out.Path)
	}
	if len(out.Packed) > 0 {
		if out.Changes, err = unpack(out.Packed); err != nil {
			return r, err
		}
	}
	return out.decode(), nil
}

// News returns what is new to an entry about the runners.
func (c *Client) News(ctx context.Context, to bergamotmirror.Peer, q bergamotload.Query) (n bergamotload.News, err error) {
	defer func() { err = oops.In("replication").Wrapf(err, "ask %s for reports", to.Name()) }()
	var out loadReply
	in := loadQuery{Version: q.Reports, Limits: q.Limits, Own: q.Own, Wait: q.Wait}
	if err = c.client.Post(ctx, to.Address(), pathLoad, in, &out); err != nil {
		return n, err
	}
	n.ReportVersion, n.LimitVersion = out.Version, out.Limited
	for _, r := range out.Reports {
		n.Reports = append(n.Reports, bergamotload.NewReport(r.Runner, float64(r.Used), r.Time))
	}
	for _, l := range out.Limits {
		if decoded, ok := l.decode(); ok {
			n.Limits = append(n.Limits, decoded)
		}
	}
	return n, nil
}

// Permits asks an entry for permits and returns those that the owner gave out. An entry of a build before permits answers with an error, like
// one that reaches no owner.
func (c *Client) Permits(ctx context.Context, to bergamotmirror.Peer, wants []bergamotrate.Want, hops int) (given bergamotrate.Permits, err error) {
	defer func() { err = oops.In("replication").Wrapf(err, "ask %s for permits", to.Name()) }()
	in := permitQuery{Hops: hops}
	for _, w := range wants {
		l := encodeLimit(w.Limit())
		l.Wanted = w.Number()
		in.Wants = append(in.Wants, l)
	}
	var out permitReply
	err = c.client.Post(ctx, to.Address(), pathPermit, in, &out)
	return out.Given, err
}

// Borrow borrows a retry of a service and reports whether the hub lends it, which it does while less than a share of its
// budget is used.
func (c *Client) Borrow(ctx context.Context, hub bergamotmirror.Peer, service string, share float64) (lent bool, err error) {
	defer func() { err = oops.In("replication").Wrapf(err, "borrow a retry from %s", hub.Name()) }()
	var out borrowReply
	err = c.client.Post(ctx, hub.Address(), pathBorrow, borrowQuery{Service: service, Share: share}, &out)
	return out.Lent, err
}
