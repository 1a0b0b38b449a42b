package bergamotreplication

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotload"
	"bergamotspur/core/bergamotmirror"
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

// Reports returns the reports of runners that were added to the board of an entry after a version, and the new version. If
// own is set, it returns only those of runners that the entry has asked itself.
func (c *Client) Reports(ctx context.Context, to bergamotmirror.Peer, version int64, own bool, wait time.Duration) (
	reports []bergamotload.Report, now int64, err error,
) {
	defer func() { err = oops.In("replication").Wrapf(err, "ask %s for reports", to.Name()) }()
	var out loadReply
	if err = c.client.Post(ctx, to.Address(), pathLoad, loadQuery{Version: version, Own: own, Wait: wait}, &out); err != nil {
		return nil, 0, err
	}
	for _, r := range out.Reports {
		reports = append(reports, bergamotload.NewReport(r.Runner, float64(r.Used), r.Time))
	}
	return reports, out.Version, nil
}

// Borrow borrows a retry of a service and reports whether the hub lends it, which it does while less than a share of its
// budget is used.
func (c *Client) Borrow(ctx context.Context, hub bergamotmirror.Peer, service string, share float64) (lent bool, err error) {
	defer func() { err = oops.In("replication").Wrapf(err, "borrow a retry from %s", hub.Name()) }()
	var out borrowReply
	err = c.client.Post(ctx, hub.Address(), pathBorrow, borrowQuery{Service: service, Share: share}, &out)
	return out.Lent, err
}
