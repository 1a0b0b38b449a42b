package bergamotfront

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"bergamotspur/core/bergamotrequest"
)

// errorMessage is the error body of the completions API.
type errorMessage struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"` // reason of the refusal
	Run     string  `json:"run"`  // whether the request was run: no, yes or unknown
}

// status returns the HTTP status for the reason of a refusal.
func status(r bergamotrequest.Reason) int {
	switch r {
	case bergamotrequest.ReasonBody, bergamotrequest.ReasonIdempotency:
		return http.StatusBadRequest
	case bergamotrequest.ReasonUpload:
		return http.StatusRequestTimeout
	case bergamotrequest.ReasonSize:
		return http.StatusRequestEntityTooLarge
	case bergamotrequest.ReasonKey:
		return http.StatusUnauthorized
	case bergamotrequest.ReasonAccess:
		return http.StatusForbidden
	case bergamotrequest.ReasonModel, bergamotrequest.ReasonService, bergamotrequest.ReasonRoute:
		return http.StatusNotFound
	case bergamotrequest.ReasonProgress:
		return http.StatusConflict
	case bergamotrequest.ReasonDigest, bergamotrequest.ReasonSuspect:
		return http.StatusUnprocessableEntity
	case bergamotrequest.ReasonRate, bergamotrequest.ReasonTokens:
		return http.StatusTooManyRequests
	case bergamotrequest.ReasonDeadline, bergamotrequest.ReasonStall:
		return http.StatusGatewayTimeout
	case bergamotrequest.ReasonTarget, bergamotrequest.ReasonPromise, bergamotrequest.ReasonProof, bergamotrequest.ReasonUnknown:
		return http.StatusBadGateway
	case bergamotrequest.ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

func errorType(code int) string {
	switch {
	case code == http.StatusUnauthorized:
		return "authentication_error"
	case code == http.StatusForbidden:
		return "permission_error"
	case code == http.StatusTooManyRequests:
		return "rate_limit_error"
	case code >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

func errorBody(f *bergamotrequest.Refusal) errorMessage {
	return errorMessage{Error: errorDetail{
		Message: f.Text(), Type: errorType(status(f.Reason())), Code: string(f.Reason()), Run: f.RunState().String(),
	}}
}

func writeRefusal(w http.ResponseWriter, f *bergamotrequest.Refusal) {
	writeError(w, status(f.Reason()), f)
}

func writeError(w http.ResponseWriter, code int, f *bergamotrequest.Refusal) {
	w.Header().Set(HeaderRun, f.RunState().String())
	w.Header().Set(HeaderReason, string(f.Reason()))
	if after := retryAfter(code, f); after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	writeJSON(w, code, errorBody(f))
}

// defaultRetryDelay is the Retry-After of a temporary refusal that sets no delay.
const defaultRetryDelay = time.Second

// retryAfter returns the delay to send as Retry-After, or zero for none. A refusal without a delay is
// worth a retry only if its cause is temporary and the request was not run.
func retryAfter(code int, f *bergamotrequest.Refusal) time.Duration {
	temporary := code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable
	if f.RetryAfter() == 0 && temporary && f.RunState() == bergamotrequest.RunNo {
		return defaultRetryDelay
	}
	return f.RetryAfter()
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(code)
	// A write error means that the caller has disconnected and cannot be notified.
	_, _ = w.Write(append(data, '\n'))
}
