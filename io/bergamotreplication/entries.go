package bergamotreplication

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotdetour"
	"bergamotspur/io/bergamotwire"
)

// EntriesPath is the path of queries for the entries that an entry knows.
const EntriesPath = "/entries"

// maxListed is the largest number of entries in each list of a reply. An entry has at most 18 followers, a data centre two hubs.
const maxListed = 64

// entriesReply is a bergamotdetour.Listing in JSON.
type entriesReply struct {
	Entry     string                `json:"entry"`
	Answer    bergamotdetour.Answer `json:"answer"`
	Left      int64                 `json:"left,omitempty"` // ms for which an entry that is stopping still helps
	Followers []listedEntry         `json:"followers"`
	Hubs      []listedEntry         `json:"hubs,omitempty"`
	Helpers   []listedEntry         `json:"helpers"`
}

type listedEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Centre  string `json:"centre"`
	Entries int    `json:"entries,omitempty"` // that read through a follower or hub, including itself
}

// Lister returns what this entry says about itself and the entries that it knows.
type Lister interface {
	Listing() bergamotdetour.Listing
}

// NewEntriesHandler returns a handler that answers queries for the entries that the entry of that name knows.
func NewEntriesHandler(entry string, lister Lister) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l := lister.Listing()
		out := entriesReply{Entry: entry, Answer: l.Answer(), Left: l.Left().Milliseconds()}
		out.Followers, out.Hubs = encodeBranches(l.Followers()), encodeBranches(l.Hubs())
		for _, h := range l.Helpers() {
			out.Helpers = append(out.Helpers, listedEntry{Name: h.Name(), Address: h.Address(), Centre: h.Centre()})
		}
		bergamotwire.Write(w, http.StatusOK, out)
	})
}

// List asks an entry for its listing. A reply of another entry that has taken over the address is an error, as is that of an
// entry of an older build, which knows no such query.
func (c *Client) List(ctx context.Context, h bergamotdetour.Helper) (l bergamotdetour.Listing, err error) {
	defer func() { err = oops.In("replication").Wrapf(err, "ask %s for entries", h.Name()) }()
	var out entriesReply
	if err = c.client.Post(ctx, h.Address(), EntriesPath, struct{}{}, &out); err != nil {
		return l, err
	}
	if out.Entry != h.Name() {
		return l, fmt.Errorf("%s answers at the address", out.Entry)
	}
	if n := max(len(out.Followers), len(out.Hubs), len(out.Helpers)); n > maxListed {
		return l, fmt.Errorf("the reply has a list of %d entries", n)
	}
	var helpers []bergamotdetour.Helper
	for _, e := range out.Helpers {
		helpers = append(helpers, bergamotdetour.NewHelper(e.Name, e.Address, e.Centre))
	}
	listing := bergamotdetour.NewListing(out.Answer, decodeBranches(out.Followers), decodeBranches(out.Hubs), helpers)
	return listing.WithLeft(time.Duration(max(out.Left, 0)) * time.Millisecond), nil
}

func encodeBranches(list []bergamotdetour.Branch) (out []listedEntry) {
	for _, b := range list {
		out = append(out, listedEntry{Name: b.Name(), Address: b.Address(), Centre: b.Centre(), Entries: b.Entries()})
	}
	return out
}

func decodeBranches(list []listedEntry) (out []bergamotdetour.Branch) {
	for _, e := range list {
		out = append(out, bergamotdetour.NewBranch(bergamotdetour.NewHelper(e.Name, e.Address, e.Centre), e.Entries))
	}
	return out
}
