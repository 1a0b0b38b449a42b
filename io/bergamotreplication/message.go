package bergamotreplication

import (
	"time"
	"unicode/utf8"

	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotrate"
	"bergamotspur/core/bergamotstore"
)

// Paths of queries.
const (
	pathFollow = "/follow" // for changes of a table
	pathLoad   = "/load"   // for reports and limits of runners
	pathBorrow = "/borrow" // for retries
	pathPermit = "/permit" // for permits of runners with a limit
)

// query is a bergamotmirror.Query in JSON.
type query struct {
	Entry   string        `json:"entry"`
	Address string        `json:"address"` // at which other entries can follow the one that asks
	Table   string        `json:"table"`
	Era     int64         `json:"era,omitempty"` // of the version; absent if it is not known, and in queries of older builds
	Version int64         `json:"version"`
	Time    time.Duration `json:"time"` // of the store's clock, in nanoseconds
	Wait    time.Duration `json:"wait"` // in nanoseconds
	Entries int           `json:"entries"`
}

// reply is a bergamotmirror.Reply in JSON.
type reply struct {
	Changes  []change      `json:"changes"`
	Packed   []byte        `json:"packed"` // a long list of changes instead of Changes, as gzip of its JSON
	Whole    bool          `json:"whole"`
	Era      int64         `json:"era,omitempty"` // as in a query
	Version  int64         `json:"version"`
	Time     time.Duration `json:"time"` // of the store's clock, in nanoseconds
	Path     []string      `json:"path"`
	Entries  int           `json:"entries"`
	Vacant   bool          `json:"vacant"`
	Redirect []peer        `json:"redirect"`
}

// change is a bergamotstore.Change in JSON.
type change struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Text     string `json:"text"`  // value if it is UTF-8, which compresses better
	Value    []byte `json:"value"` // value otherwise
	Deleted  bool   `json:"deleted"`
}

type peer struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// loadQuery is a bergamotload.Query in JSON. Builds before the limits have neither the field for their version nor that for limits.
type loadQuery struct {
	Version int64         `json:"version"`
	Limits  int64         `json:"limits,omitempty"`
	Own     bool          `json:"own"`  // only reports of runners that the entry has asked itself
	Wait    time.Duration `json:"wait"` // in nanoseconds
}

// loadReply is the answer to a loadQuery.
type loadReply struct {
	Version int64    `json:"version"`
	Reports []report `json:"reports"`
	Limited int64    `json:"limited,omitempty"` // version of the limits
	Limits  []limit  `json:"limits,omitempty"`
}

// limit is a bergamotrate.Limit in JSON, in a query for permits with how many are wanted.
type limit struct {
	Process string        `json:"process"`
	Rate    float64       `json:"rate"` // requests a second
	Ended   bool          `json:"ended,omitempty"`
	Time    time.Duration `json:"time"` // of the store's clock, in nanoseconds
	Wanted  int           `json:"wanted,omitempty"`
}

// permitQuery asks for permits, or only passes limits on.
type permitQuery struct {
	Wants []limit `json:"wants"`
	Hops  int     `json:"hops"` // entries that the query has passed
}

// permitReply is the answer to a permitQuery.
type permitReply struct {
	Given map[string]int `json:"given"` // by process
}

// report is a bergamotload.Report in JSON.
type report struct {
	Runner string        `json:"runner"`
	Used   int64         `json:"used"` // token-layers
	Time   time.Duration `json:"time"` // of the store's clock, in nanoseconds
}

// borrowQuery asks for a retry of a service.
type borrowQuery struct {
	Service string  `json:"service"`
	Share   float64 `json:"share"` // of the shared budget up to which it may be lent, from 0 to 1
}

// borrowReply is the answer to a borrowQuery.
type borrowReply struct {
	Lent bool `json:"lent"`
}

func encodeLimit(l bergamotrate.Limit) limit {
	return limit{Process: l.Process(), Rate: l.Rate(), Ended: l.Ended(), Time: l.At()}
}

// decode returns the limit; ok is false for one that no runner can have named.
func (l limit) decode() (out bergamotrate.Limit, ok bool) {
	if l.Ended {
		return bergamotrate.NewEnd(l.Process, l.Time), l.Process != ""
	}
	return bergamotrate.NewLimit(l.Process, l.Rate, l.Time), l.Process != "" && l.Rate >= 0
}

func encodeChanges(list []bergamotstore.Change) (out []change) {
	for _, c := range list {
		e := change{Key: c.Row().Key(), Revision: c.Row().Revision(), Deleted: c.Deleted()}
		if value := c.Row().Value(); utf8.Valid(value) {
			e.Text = string(value)
		} else {
			e.Value = value
		}
		out = append(out, e)
	}
	return out
}

// encodeReply returns the reply without its changes.
func encodeReply(r bergamotmirror.Reply) reply {
	u := r.Update()
	out := reply{
		Whole: u.Whole(), Era: u.Position().Era(), Version: u.Position().Number(), Time: u.StoreTime(),
		Path: r.Path(), Entries: r.Entries(), Vacant: r.Vacant(),
	}
	for _, p := range r.Redirect() {
		out.Redirect = append(out.Redirect, peer{Name: p.Name(), Address: p.Address()})
	}
	return out
}

func (r reply) decode() bergamotmirror.Reply {
	if len(r.Path) == 0 {
		var to []bergamotmirror.Peer
		for _, p := range r.Redirect {
			to = append(to, bergamotmirror.NewPeer(p.Name, p.Address))
		}
		return bergamotmirror.NewRedirect(to)
	}
	changes := make([]bergamotstore.Change, len(r.Changes))
	for i, c := range r.Changes {
		value := c.Value
		if c.Text != "" {
			value = []byte(c.Text)
		}
		changes[i] = bergamotstore.NewChange(bergamotstore.NewRow(c.Key, c.Revision, value), c.Deleted)
	}
	u := bergamotmirror.NewUpdate(changes, r.Whole, bergamotstore.NewPosition(r.Era, r.Version), r.Time)
	return bergamotmirror.NewReply(u, r.Path, r.Entries, r.Vacant)
}
