package bergamotreplication

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"bergamotspur/core/bergamotload"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/io/bergamotwire"
)

// maxQueryBytes is the maximum size of a query; one has about 200 bytes.
const maxQueryBytes = 4 << 10

// Source answers queries.
type Source interface {
	// Answer answers the query of an entry that can itself be followed at the address of peer.
	Answer(ctx context.Context, peer bergamotmirror.Peer, q bergamotmirror.Query) bergamotmirror.Reply
}

// LoadSource answers queries for reports of runners.
type LoadSource interface {
	// Answer returns the reports that were added after a version, and the new version.
	Answer(ctx context.Context, version int64, own bool, wait time.Duration) (reports []bergamotload.Report, now int64)
}

// Lender lends retries.
type Lender interface {
	// Lend lends a retry of a service while less than a share of the budget to lend is used, and reports whether it did.
	Lend(service string, share float64) bool
}

// NewHandler returns a handler that answers the queries of other entries.
func NewHandler(s Source, l LoadSource, lender Lender) http.Handler {
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
		reports, now := l.Answer(r.Context(), in.Version, in.Own, in.Wait)
		out := loadReply{Version: now}
		for _, r := range reports {
			out.Reports = append(out.Reports, report{Runner: r.Runner(), Used: int64(r.Used()), Time: r.At()})
		}
		bergamotwire.Write(w, http.StatusOK, out)
	})
	mux.HandleFunc("POST "+pathBorrow, func(w http.ResponseWriter, r *http.Request) {
		var in borrowQuery
		if decode(w, r, &in) {
			bergamotwire.Write(w, http.StatusOK, borrowReply{Lent: lender.Lend(in.Service, in.Share)})
		}
	})
	return mux
}

// decode decodes a query and reports whether it is valid; it answers one that is not.
func decode(w http.ResponseWriter, r *http.Request, q any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes)).Decode(q); err != nil {
		http.Error(w, "not a query", http.StatusBadRequest)
		return false
	}
	return true
}
