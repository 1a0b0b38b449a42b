package bergamotfake

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"bergamotspur/io/bergamottable"
	"bergamotspur/io/bergamotwire"
)

// A Table is a fake of the platform's table service.
type Table struct {
	Faults Faults

	mu   sync.Mutex
	rows map[string]bergamottable.RowMessage
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[string]bergamottable.RowMessage{}} }

// Handler returns the HTTP interface with the faults.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/read", func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, func(m bergamottable.RowMessage) any { return t.read(m.Key) })
	})
	mux.HandleFunc("POST /table/swap", func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, func(m bergamottable.RowMessage) any { return t.swap(m) })
	})
	mux.HandleFunc("POST /table/scan", func(w http.ResponseWriter, r *http.Request) {
		serveJSON(w, r, func(m scanMessage) any { return t.scan(m) })
	})
	return t.Faults.Wrap(mux)
}

type scanMessage struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// serveJSON decodes a message and replies with the result of f.
func serveJSON[M any](w http.ResponseWriter, r *http.Request, f func(M) any) {
	var m M
	if err := bergamotwire.Read(r, &m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	bergamotwire.Write(w, http.StatusOK, f(m))
}

func (t *Table) read(key string) bergamottable.RowMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	row.Key = key
	return row
}

func (t *Table) swap(m bergamottable.RowMessage) bergamottable.SwapReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[m.Key]
	row.Key = m.Key
	if row.Revision != m.Revision {
		return bergamottable.SwapReply{Row: row}
	}
	row.Revision++
	row.Value = m.Value
	t.rows[m.Key] = row
	return bergamottable.SwapReply{Swapped: true, Row: row}
}

func (t *Table) scan(m scanMessage) []bergamottable.RowMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []bergamottable.RowMessage{}
	for _, row := range t.rows {
		if strings.HasPrefix(row.Key, m.Prefix) && row.Key > m.After {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b bergamottable.RowMessage) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(len(out), max(m.Limit, 0))]
}
