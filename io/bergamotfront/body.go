package bergamotfront

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/io/bergamotlimit"
)

// bodyTimeout is the time in which a body has to arrive. The time limit of the request may depend on its body.
const bodyTimeout = 30 * time.Second

// intake reads the body of a request into memory that is charged until the request has ended.
type intake struct {
	body   *bergamotlimit.Body
	charge *bergamotaccount.Charge
}

func (s *Server) newIntake(w http.ResponseWriter, r *http.Request) *intake {
	i := &intake{body: bergamotlimit.NewBody(http.NewResponseController(w), r)}
	i.charge = s.Account.Open(bergamotaccount.NewHolder(bergamotaccount.KindBody, i.body.Connection(), func(bergamotaccount.Cause) { i.body.Abort() }))
	return i
}

// read returns the body, or a refusal if it is too large, late or cannot be read, or if there is no memory for it.
func (i *intake) read() ([]byte, error) {
	if i.body.Length() > maxBodyBytes {
		return nil, refuseSize()
	}
	head := i.body.HeadBytes()
	i.body.MoveHead()
	i.body.SetDeadline(time.Now().Add(bodyTimeout))
	data, err := bergamotaccount.ReadAll(i.body, i.charge, head, i.body.Length(), maxBodyBytes)
	if err == nil {
		err = i.charge.Hold()
	}
	switch {
	case err == nil:
		i.body.SetDeadline(time.Time{})
		return data, nil
	case errors.Is(err, bergamotaccount.ErrTooLarge):
		return nil, refuseSize()
	case errors.Is(err, bergamotaccount.ErrFull) || i.charge.Cause() != "":
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonMemory, "no memory for the request")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonUpload, "the body did not arrive in time")
	default:
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "the body could not be read: %s", err)
	}
}

func refuseSize() error {
	return bergamotrequest.Refuse(bergamotrequest.ReasonSize, "the body has more than %d bytes", maxBodyBytes)
}

// refuse writes a refusal, after which the rest of the body is not needed.
func (i *intake) refuse(w http.ResponseWriter, f *bergamotrequest.Refusal) {
	i.charge.Close()
	i.body.Refuse(w.Header())
	writeRefusal(w, f)
}

// end releases the memory, and ends the connection if a refusal requires that.
func (i *intake) end() {
	i.charge.Close()
	i.body.End()
}

// withoutBody returns a handler for requests whose bodies are not used.
func withoutBody(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body := bergamotlimit.NewBody(http.NewResponseController(w), r)
		body.Refuse(w.Header())
		defer body.End()
		h(w, r)
	}
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
