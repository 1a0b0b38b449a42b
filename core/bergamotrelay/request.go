package bergamotrelay

import "time"

// Fields are header fields by name, passed on unchanged.
type Fields = map[string][]string

// RequestSpec holds the fields from which NewRequest builds a request.
type RequestSpec struct {
	ID       string // chosen by the caller, another one for each attempt of the caller
	Method   string
	Host     string
	Path     string // decides the route
	Target   string // path and query as the caller sent them
	Key      string // names the workspace, empty for none
	Wait     time.Duration
	Model    string
	Prompt   int // tokens of the prompt
	Answer   int // expected tokens of the answer
	Position int // last event of the stream that the caller has, -1 for none
	Fields   Fields
	Body     []byte
	Arrived  time.Time
}

// Request is one request of a caller.
type Request struct{ spec RequestSpec }

// NewRequest returns a request with the fields of s.
func NewRequest(s RequestSpec) *Request { return &Request{spec: s} }

// ID returns the identifier of this attempt of the caller.
func (r *Request) ID() string { return r.spec.ID }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.spec.Method }

// Host returns the host name that the caller asked for.
func (r *Request) Host() string { return r.spec.Host }

// Path returns the path that decides the route.
func (r *Request) Path() string { return r.spec.Path }

// Target returns path and query as the caller sent them.
func (r *Request) Target() string { return r.spec.Target }

// Key returns the key that names the workspace, empty for none.
func (r *Request) Key() string { return r.spec.Key }

// Wait returns how long the caller waits from the arrival, 0 when it did not say.
func (r *Request) Wait() time.Duration { return r.spec.Wait }

// Model returns the name of the model, empty for a plain call.
func (r *Request) Model() string { return r.spec.Model }

// Tokens returns the tokens of the prompt and the expected ones of the answer.
func (r *Request) Tokens() float64 { return float64(r.spec.Prompt + r.spec.Answer) }

// Position returns the last event of the stream that the caller has, -1 for none.
func (r *Request) Position() int { return r.spec.Position }

// Fields returns the header fields to pass on; the caller must not change them.
func (r *Request) Fields() Fields { return r.spec.Fields }

// Body returns the content.
func (r *Request) Body() []byte { return r.spec.Body }

// Arrived returns when the entry received the request.
func (r *Request) Arrived() time.Time { return r.spec.Arrived }
