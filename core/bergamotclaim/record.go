package bergamotclaim

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotrequest"
)

// Record is the content of a row: the state of a call and, when it ran, its answer.
type Record struct{ fields recordFields }

type recordFields struct {
	State          State  `json:"state"`
	Digest         string `json:"digest"`
	Attempt        string `json:"attempt"`
	Service        string `json:"service"`
	Call           string `json:"call"`
	DispatchWindow int64  `json:"granted"`          // milliseconds from the claim to the deadline of the call
	SettledBy      string `json:"by,omitempty"`     // operator who settled the call, empty when none did
	Status         int    `json:"status,omitempty"` // of the answer, in state done
	ContentType    string `json:"kind,omitempty"`
	Body           []byte `json:"body,omitempty"`
	Object         string `json:"object,omitempty"` // name of the object that holds the body, when the row does not
}

// newRecord returns the record of a claim; window is the time until the deadline of the call.
func newRecord(c Call, attempt string, window time.Duration) Record {
	return Record{recordFields{
		State: StateClaimed, Digest: c.Digest(), Attempt: attempt, Service: c.request.Service(), Call: c.request.Call(),
		DispatchWindow: min(max(window, 0), maxDispatchWindow).Milliseconds(),
	}}
}

// State returns the state of the call.
func (r Record) State() State { return r.fields.State }

// Digest returns the digest of the request.
func (r Record) Digest() string { return r.fields.Digest }

// Attempt returns the identifier of the attempt that claimed the call; it begins with the name of the entry.
func (r Record) Attempt() string { return r.fields.Attempt }

// Service returns the name of the service.
func (r Record) Service() string { return r.fields.Service }

// Call returns the name of the call at the service.
func (r Record) Call() string { return r.fields.Call }

// DispatchWindow returns how long after the claim the claiming entry may dispatch the call, measured by its own clock.
func (r Record) DispatchWindow() time.Duration {
	return time.Duration(r.fields.DispatchWindow) * time.Millisecond
}

// Object returns the name of the object that holds the body of the answer, or an empty name when the row holds it.
func (r Record) Object() string { return r.fields.Object }

// SettledBy returns the operator who settled the call, or an empty name when none did.
func (r Record) SettledBy() string { return r.fields.SettledBy }

// Reply returns the stored answer; its body is empty when an object holds it.
func (r Record) Reply() bergamotrequest.Reply {
	return bergamotrequest.NewReply(r.fields.Status, r.fields.ContentType, r.fields.Body)
}

// Encode returns the record as JSON, or the error of the encoder.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r.fields) }

// DecodeRecord returns the record from the content of a row, or an error when a field is missing or invalid.
func DecodeRecord(data []byte) (r Record, err error) {
	defer func() { err = oops.In("claim").Wrapf(err, "decode row") }()
	var f recordFields
	if err = json.Unmarshal(data, &f); err != nil {
		return r, err
	}
	// A record with missing or invalid fields could be taken for one that allows the call to run again.
	switch {
	case !f.State.isKnown():
		return r, oops.Errorf("unknown state %q", f.State)
	case f.Digest == "" || f.Attempt == "":
		return r, oops.Errorf("no digest or attempt")
	case f.DispatchWindow < 0 || f.DispatchWindow > maxDispatchWindow.Milliseconds():
		return r, oops.Errorf("granted time of %d ms is out of range", f.DispatchWindow)
	case f.State == StateDone && (f.Status < 100 || f.Status > 999):
		return r, oops.Errorf("status %d of the answer is out of range", f.Status)
	case f.Object != "" && len(f.Body) > 0:
		return r, oops.Errorf("answer both in the row and in an object")
	}
	return Record{f}, nil
}

// maxDispatchWindow is the maximum timeout that the front end and the bundle accept.
const maxDispatchWindow = 24 * time.Hour

func (r Record) withState(s State) Record {
	r.fields.State = s
	return r
}

// withAnswer returns the record with an answer; object is the name of the object that holds the body, empty when the
// row holds it.
func (r Record) withAnswer(reply bergamotrequest.Reply, object string) Record {
	r.fields.State, r.fields.Status, r.fields.ContentType = StateDone, reply.Status(), reply.ContentType()
	r.fields.Body, r.fields.Object = reply.Body(), object
	if object != "" {
		r.fields.Body = nil
	}
	return r
}

func (r Record) withOperator(operator string) Record {
	r.fields.SettledBy = operator
	return r
}
