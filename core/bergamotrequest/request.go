package bergamotrequest

import (
	"errors"
	"time"
)

// Kind tells a completion from a call of a plain service.
type Kind int

// Kinds of requests.
const (
	KindCompletion Kind = iota
	KindChat
	KindService
)

// Spec holds the fields from which New builds a request.
type Spec struct {
	ID       string        // unique for each request, chosen by the entry
	Kind     Kind          //
	Key      string        // bearer key that names the workspace
	Model    string        // pipeline or adapter, for completions
	Prompt   string        // text for the model
	Limit    int           // most tokens to generate
	Seed     uint64        // seed of the sampling
	Stream   bool          // the caller reads tokens as they come
	Arrival  time.Time     // when the entry received the request
	Deadline time.Duration // time the caller grants from Arrival, zero for the default
	Idem     string        // idempotency key, empty for none
	Service  string        // name of the plain service
	Call     string        // call of the service
	Body     []byte        // body of the service call
}

// Request is one request of a caller.
type Request struct{ spec Spec }

// New returns a request, or an error that names the missing field.
func New(s Spec) (r *Request, err error) {
	switch {
	case s.ID == "":
		return nil, errors.New("request has no id")
	case s.Kind == KindService && (s.Service == "" || s.Call == ""):
		return nil, errors.New("service request names no service or call")
	case s.Kind != KindService && s.Model == "":
		return nil, errors.New("request names no model")
	case s.Kind != KindService && s.Limit <= 0:
		return nil, errors.New("request asks for no tokens")
	}
	return &Request{spec: s}, nil
}

// ID returns the identifier chosen by the entry.
func (r *Request) ID() string { return r.spec.ID }

// Kind returns what sort of request it is.
func (r *Request) Kind() Kind { return r.spec.Kind }

// Key returns the bearer key.
func (r *Request) Key() string { return r.spec.Key }

// Model returns the name of the pipeline or adapter.
func (r *Request) Model() string { return r.spec.Model }

// Prompt returns the text for the model.
func (r *Request) Prompt() string { return r.spec.Prompt }

// Limit returns the most tokens to generate.
func (r *Request) Limit() int { return r.spec.Limit }

// Seed returns the seed of the sampling.
func (r *Request) Seed() uint64 { return r.spec.Seed }

// Stream tells whether the caller reads tokens as they come.
func (r *Request) Stream() bool { return r.spec.Stream }

// Arrival returns when the entry received the request.
func (r *Request) Arrival() time.Time { return r.spec.Arrival }

// Deadline returns the time granted by the caller, zero for the default.
func (r *Request) Deadline() time.Duration { return r.spec.Deadline }

// Idem returns the idempotency key, empty for none.
func (r *Request) Idem() string { return r.spec.Idem }

// Service returns the name of the plain service.
func (r *Request) Service() string { return r.spec.Service }

// Call returns the call of the service.
func (r *Request) Call() string { return r.spec.Call }

// Body returns the body of the service call.
func (r *Request) Body() []byte { return r.spec.Body }
