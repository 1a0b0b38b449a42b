package bergamotreplication

import (
	"context"
	"encoding/json"
	"net/http"

	"bergamotspur/core/bergamotload"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotrate"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/io/bergamotwire"
)

// maxQueryBytes is the maximum size of a query; one has about 200 bytes.
const maxQueryBytes = 4 << 10

// MaxQueryBytes is the maximum size of a query for permits, the longest of all: it may want those of 256 processes with up to 300 bytes each.
const MaxQueryBytes = 128 << 10

// Source answers queries.
type Source interface {
	// Answer answers the query of an entry that can itself be followed at the address of peer.
	Answer(ctx context.Context, peer bergamotmirror.Peer, q bergamotmirror.Query) bergamotmirror.Reply
}

// LoadSource answers queries for reports and limits of runners.
type LoadSource interface {
	// Answer returns what is new about the runners.
	Answer(ctx context.Context, q bergamotload.Query) bergamotload.News
}

// PermitSource answers queries for permits.
type PermitSource interface {
	// Answer returns the permits that the owner gave out; hops is the number of entries that the query has passed.
	Answer(ctx context.Context, wants []bergamotrate.Want, hops int) (bergamotrate.Permits, error)
}

// Lender lends retries.
type Lender interface {
	// Lend lends a retry of a service while less than a share of the budget to lend is used, and reports whether it did.
	Lend(service string, share float64) bool
}

// NewHandler returns a handler that answers the queries of other entries.
func NewHandler(s Source, l LoadSource, lender Lender, permits PermitSource) http.Handler {
	mux, tables := http.NewServeMux(), &packedTables{}
	mux.HandleFunc("POST "+pathFollow, func(w http.ResponseWriter, r *http.Request) {
		var in query
		if !decode(w, r, &in) {
			return
		}
		after := bergamotstore.NewPosition(in.Era, in.Version)
		q := bergamotmirror.NewQuery(in.Entry, in.Table, after, in.Time, min(in.Wait, bergamotmirror.MaxWait), in.Entries)
		out := s.Answer(r.Context(), bergamotmirror.NewPeer(in.Entry, in.Address), q)
		message := encodeReply(out)
		u := out.Update()
		if u.Whole() && len(u.Changes()) >= minPacked {
			message.Packed = tables.pack(in.Table, u)
		}
		if message.Packed == nil {
			message.Changes = encodeChanges(u.Changes())
		}
		bergamotwire.Write(w, http.StatusOK, message)
	})
	mux.HandleFunc("POST "+pathLoad, func(w http.ResponseWriter, r *http.Request) {
		var in loadQuery
		if !decode(w, r, &in) {
			return
		}
		n := l.Answer(r.Context(), bergamotload.Query{Reports: in.Version, Limits: in.Limits, Own: in.Own, Wait: in.Wait})
		out := loadReply{Version: n.ReportVersion, Limited: n.LimitVersion}
		for _, r := range n.Reports {
			out.Reports = append(out.Reports, report{Runner: r.Runner(), Used: int64(r.Used()), Time: r.At()})
		}
		for _, l := range n.Limits {
			out.Limits = append(out.Limits, encodeLimit(l))
		}
		bergamotwire.Write(w, http.StatusOK, out)
	})
	mux.HandleFunc("POST "+pathBorrow, func(w http.ResponseWriter, r *http.Request) {
		var in borrowQuery
		if decode(w, r, &in) {
			bergamotwire.Write(w, http.StatusOK, borrowReply{Lent: lender.Lend(in.Service, in.Share)})
		}
	})
	mux.HandleFunc("POST "+pathPermit, func(w http.ResponseWriter, r *http.Request) {
		var in permitQuery
		if !decodeWithin(w, r, &in, MaxQueryBytes) {
			return
		}
		var wants []bergamotrate.Want
		for _, l := range in.Wants {
			if decoded, ok := l.decode(); ok {
				wants = append(wants, bergamotrate.NewWant(decoded, l.Wanted))
			}
		}
		given, err := permits.Answer(r.Context(), wants, in.Hops)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		bergamotwire.Write(w, http.StatusOK, permitReply{Given: given})
	})
	return mux
}

// decode decodes a query and reports whether it is valid; it answers one that is not.
func decode(w http.ResponseWriter, r *http.Request, q any) bool {
	return decodeWithin(w, r, q, maxQueryBytes)
}

// decodeWithin is decode for queries of up to a number of bytes.
func decodeWithin(w http.ResponseWriter, r *http.Request, q any, size int64) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, size)).Decode(q); err != nil {
		http.Error(w, "not a query", http.StatusBadRequest)
		return false
	}
	return true
}
