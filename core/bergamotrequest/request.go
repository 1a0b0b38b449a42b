package bergamotrequest

import (
	"errors"
	"time"
)

// Kind is the type of a request: a completion, a chat or a call of a plain service.
type Kind int

// Kinds of requests.
const (
	KindCompletion Kind = iota
	KindChat
	KindService
)

// Spec holds the fields from which New builds a request.
type Spec struct {
	ID             string // unique ID assigned by the entry
	Kind           Kind
	APIKey         string        // bearer key that identifies the workspace
	Model          string        // name of the pipeline or adapter, for completions and chats
	Prompt         string        // text for the model
	MaxTokens      int           // maximum number of tokens to generate
	Seed           uint64        // sampling seed
	Stream         bool          // the caller reads tokens as they are generated
	ArrivedAt      time.Time     // time at which the entry received the request
	Timeout        time.Duration // time allowed by the caller from ArrivedAt on, zero for the default
	IdempotencyKey string        // idempotency key, empty for none
	Service        string        // name of the plain service
	Call           string        // name of the call
	Body           []byte        // body of the service call
}

// Request is a request from a caller.
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
	case s.Kind != KindService && s.MaxTokens <= 0:
		return nil, errors.New("request asks for no tokens")
	}
	return &Request{spec: s}, nil
}

// ID returns the unique ID assigned by the entry.
func (r *Request) ID() string { return r.spec.ID }

// Kind returns the type of the request.
func (r *Request) Kind() Kind { return r.spec.Kind }

// APIKey returns the bearer key that identifies the workspace.
func (r *Request) APIKey() string { return r.spec.APIKey }

// Model returns the name of the pipeline or adapter.
func (r *Request) Model() string { return r.spec.Model }

// Prompt returns the text for the model.
func (r *Request) Prompt() string { return r.spec.Prompt }

// MaxTokens returns the maximum number of tokens to generate.
func (r *Request) MaxTokens() int { return r.spec.MaxTokens }

// Seed returns the sampling seed.
func (r *Request) Seed() uint64 { return r.spec.Seed }

// IsStreaming reports whether the caller reads tokens as they are generated.
func (r *Request) IsStreaming() bool { return r.spec.Stream }

// ArrivedAt returns the time at which the entry received the request.
func (r *Request) ArrivedAt() time.Time { return r.spec.ArrivedAt }

// Timeout returns the time allowed by the caller from ArrivedAt on, zero for the default.
func (r *Request) Timeout() time.Duration { return r.spec.Timeout }

// IdempotencyKey returns the idempotency key, empty for none.
func (r *Request) IdempotencyKey() string { return r.spec.IdempotencyKey }

// Service returns the name of the plain service.
func (r *Request) Service() string { return r.spec.Service }

// Call returns the name of the service call.
func (r *Request) Call() string { return r.spec.Call }

// Body returns the body of the service call.
func (r *Request) Body() []byte { return r.spec.Body }
