package bergamotfake

import (
	"io"
	"net/http"
)

// readAll returns the body of a request up to its end or the first read error.
func readAll(r *http.Request) string {
	data, _ := io.ReadAll(r.Body) // a truncated body is returned as received
	return string(data)
}
