package bergamotreplication

import (
	"context"
	"encoding/json"
	"net/http"

	"bergamotspur/core/bergamotreplica"
)

// maxQueryBytes is the maximum size of a query; one has about 200 bytes.
const maxQueryBytes = 4 << 10

// Source answers queries.
type Source interface {
	// Answer answers the query of an entry that can itself be followed at the address of peer.
	Answer(ctx context.Context, peer bergamotreplica.Peer, q bergamotreplica.Query) bergamotreplica.Reply
}

// NewHandler returns a handler that answers the queries of other entries.
func NewHandler(s Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var in query
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQueryBytes)).Decode(&in); err != nil || in.Entry == "" {
			http.Error(w, "not a query", http.StatusBadRequest)
			return
		}
		q := bergamotreplica.NewQuery(in.Entry, in.Table, in.Version, in.Time, min(in.Wait, bergamotreplica.MaxWait), in.Entries)
		out := s.Answer(r.Context(), bergamotreplica.NewPeer(in.Entry, in.Address), q)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(encodeReply(out)) // fails only if the other entry has disconnected
	})
	return mux
}
