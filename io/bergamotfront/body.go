package bergamotfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"bergamotspur/core/bergamotrequest"
)

// readBody returns the body of a request, or a refusal.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	var size *http.MaxBytesError
	switch {
	case errors.As(err, &size):
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonSize, "the body has more than %d bytes", size.Limit)
	case err != nil:
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "the body could not be read: %s", err)
	}
	return data, nil
}

// decodeBody returns the body of a completion call, or an error that names the field at fault.
func decodeBody(data []byte) (b *completionBody, err error) {
	b = &completionBody{}
	err = json.Unmarshal(data, b)
	var field *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &field) && field.Field != "":
		return nil, fmt.Errorf("field %s cannot be a %s", field.Field, field.Value)
	case errors.As(err, &field):
		return nil, fmt.Errorf("the body must be a JSON object, not a %s", field.Value)
	case errors.As(err, &syntax):
		return nil, fmt.Errorf("the body is not valid JSON at byte %d: %s", syntax.Offset, syntax)
	case err != nil:
		return nil, fmt.Errorf("the body is not valid JSON: %w", err)
	}
	return b, b.unsupported()
}

// writeMethod rejects a method that a path does not take.
func writeMethod(w http.ResponseWriter, r *http.Request, allow string) {
	w.Header().Set("Allow", allow)
	writeError(w, http.StatusMethodNotAllowed, bergamotrequest.Refuse(bergamotrequest.ReasonRoute, "%s takes %s, not %s", r.URL.Path, allow, r.Method))
}
