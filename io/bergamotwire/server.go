package bergamotwire

import (
	"encoding/json"
	"io"
	"net/http"
)

// Read decodes the JSON body of a request.
func Read(r *http.Request, v any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// Write sends v as JSON with a status.
func Write(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may have gone away; it then asks again or gives up by itself.
	_, _ = w.Write(append(data, '\n'))
}
