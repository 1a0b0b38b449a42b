package bergamotfake

import (
	"io"
	"net/http"
)

// readAll returns the body of a request as far as it can be read.
func readAll(r *http.Request) string {
	data, _ := io.ReadAll(r.Body) // a body that breaks off shows as shorter than it was sent
	return string(data)
}
