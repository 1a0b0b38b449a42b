package bergamotclaim

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotrequest"
)

// Record is the content of a row.
type Record struct{ fields recordFields }

type recordFields struct {
	State   State  `json:"state"`
	Digest  string `json:"digest"`
	Attempt string `json:"attempt"`
	Service string `json:"service"`
	Call    string `json:"call"`
	Granted int64  `json:"granted"`          // milliseconds that the claiming entry had left to dispatch the call
	By      string `json:"by,omitempty"`     // operator who settled the call
	Status  int    `json:"status,omitempty"` // answer, in state done
	Kind    string `json:"kind,omitempty"`
	Body    []byte `json:"body,omitempty"`
	Object  string `json:"object,omitempty"` // name of the object with the body, when the row has none
}

// newRecord returns the claim of a call by an attempt.
func newRecord(c Call, attempt string, granted time.Duration) Record {
	return Record{recordFields{
		State: StateClaimed, Digest: c.Digest(), Attempt: attempt, Service: c.request.Service(), Call: c.request.Call(),
		Granted: min(max(granted, 0), maxGranted).Milliseconds(),
	}}
}

// State returns the state of the call.
func (r Record) State() State { return r.fields.State }

// Digest returns the digest of the request.
func (r Record) Digest() string { return r.fields.Digest }

// Attempt returns the identifier of the claim, which begins with the name of the entry.
func (r Record) Attempt() string { return r.fields.Attempt }

// Service returns the name of the service.
func (r Record) Service() string { return r.fields.Service }

// Call returns the call of the service.
func (r Record) Call() string { return r.fields.Call }

// Granted returns how long after the claim the claiming entry may dispatch the call, on its own clock.
func (r Record) Granted() time.Duration { return time.Duration(r.fields.Granted) * time.Millisecond }

// Object returns the name of the object that holds the body of the answer, empty when the row holds it.
func (r Record) Object() string { return r.fields.Object }

// By returns the operator who settled the call, empty when none did.
func (r Record) By() string { return r.fields.By }

// Reply returns the stored answer; its body is empty when an object holds it.
func (r Record) Reply() bergamotrequest.Reply {
	return bergamotrequest.NewReply(r.fields.Status, r.fields.Kind, r.fields.Body)
}

// Encode returns the content of the row.
func (r Record) Encode() ([]byte, error) { return json.Marshal(r.fields) }

// DecodeRecord returns the record that a row contains, or an error when a field is missing or has no meaning.
func DecodeRecord(data []byte) (r Record, err error) {
	defer func() { err = oops.In("claim").Wrapf(err, "decode row") }()
	var f recordFields
	if err = json.Unmarshal(data, &f); err != nil {
		return r, err
	}
	// A record without these fields could be mistaken for one that allows the call to run again.
	switch {
	case !f.State.known():
		return r, oops.Errorf("unknown state %q", f.State)
	case f.Digest == "" || f.Attempt == "":
		return r, oops.Errorf("no digest or attempt")
	case f.Granted < 0 || f.Granted > maxGranted.Milliseconds():
		return r, oops.Errorf("granted time of %d ms is out of range", f.Granted)
	case f.State == StateDone && (f.Status < 100 || f.Status > 999):
		return r, oops.Errorf("status %d of the answer is out of range", f.Status)
	case f.Object != "" && len(f.Body) > 0:
		return r, oops.Errorf("answer both in the row and in an object")
	}
	return Record{f}, nil
}

// maxGranted is the longest deadline that the front end and the bundle accept.
const maxGranted = 24 * time.Hour

func (r Record) with(s State) Record {
	r.fields.State = s
	return r
}

// answered returns the record with an answer; object names the object that holds the body, empty for the row itself.
func (r Record) answered(reply bergamotrequest.Reply, object string) Record {
	r.fields.State, r.fields.Status, r.fields.Kind = StateDone, reply.Status(), reply.ContentType()
	r.fields.Body, r.fields.Object = reply.Body(), object
	if object != "" {
		r.fields.Body = nil
	}
	return r
}

func (r Record) settledBy(operator string) Record {
	r.fields.By = operator
	return r
}
