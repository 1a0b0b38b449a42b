package bergamotfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"bergamotspur/core/bergamotrequest"
)

// readBody returns the body of a request, or a refusal if it is too large or cannot be read.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonSize, "the body has more than %d bytes", tooLarge.Limit)
	case err != nil:
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "the body could not be read: %s", err)
	}
	return data, nil
}

// decodeBody decodes the body of a completion call. The error names the invalid or unsupported field, if there is one.
func decodeBody(data []byte) (b *completionBody, err error) {
	b = &completionBody{}
	err = json.Unmarshal(data, b)
	var typeErr *json.UnmarshalTypeError
	var syntaxErr *json.SyntaxError
	switch {
	case errors.As(err, &typeErr) && typeErr.Field != "":
		return nil, fmt.Errorf("field %s cannot be a %s", typeErr.Field, typeErr.Value)
	case errors.As(err, &typeErr):
		return nil, fmt.Errorf("the body must be a JSON object, not a %s", typeErr.Value)
	case errors.As(err, &syntaxErr):
		return nil, fmt.Errorf("the body is not valid JSON at byte %d: %s", syntaxErr.Offset, syntaxErr)
	case err != nil:
		return nil, fmt.Errorf("the body is not valid JSON: %w", err)
	}
	return b, b.unsupported()
}

// writeMethodNotAllowed rejects a request whose method is not in allow, the methods of its path.
func writeMethodNotAllowed(w http.ResponseWriter, r *http.Request, allow string) {
	w.Header().Set("Allow", allow)
	writeError(w, http.StatusMethodNotAllowed, bergamotrequest.Refuse(bergamotrequest.ReasonRoute, "%s takes %s, not %s", r.URL.Path, allow, r.Method))
}
