package bergamotwire

import (
	"encoding/json"
	"io"
	"net/http"
)

// Read decodes the JSON body of a request, of which it reads at most 64 MiB.
func Read(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// Write sends v as JSON with a status, or status 500 when v has no JSON form.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may have disconnected; it then retries or gives up by itself.
	_, _ = w.Write(append(data, '\n'))
}
