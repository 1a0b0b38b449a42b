package bergamotrelay

import "time"

// Fields are HTTP header fields by name, passed on unchanged.
type Fields = map[string][]string

// RequestSpec holds the fields from which NewRequest builds a request.
type RequestSpec struct {
	ID            string // set by the caller, different for each of its attempts
	Method        string
	Host          string
	Path          string // URL path that selects the route
	URI           string // path and query exactly as the caller sent them
	APIKey        string // identifies the workspace, empty for none
	CallerTimeout time.Duration
	Model         string
	PromptTokens  int      // tokens in the prompt
	AnswerTokens  int      // expected tokens in the answer
	PromptParts   []string // identifiers of the parts of the prompt in order; the last one belongs to the request or its session
	LastEvent     int      // last event of the stream that the caller has received, -1 for none
	Fields        Fields
	Body          []byte
	Content       Content // from which BodyReader sets the body, nil for none
	ArrivedAt     time.Time
}

// Request is a caller's request.
type Request struct{ spec RequestSpec }

// NewRequest returns a request with the fields of s.
func NewRequest(s RequestSpec) *Request { return &Request{spec: s} }

// ID returns the caller's identifier, different for each of its attempts.
func (r *Request) ID() string { return r.spec.ID }

// Method returns the HTTP method.
func (r *Request) Method() string { return r.spec.Method }

// Host returns the host name in the request.
func (r *Request) Host() string { return r.spec.Host }

// Path returns the URL path that selects the route.
func (r *Request) Path() string { return r.spec.Path }

// URI returns the path and query exactly as the caller sent them.
func (r *Request) URI() string { return r.spec.URI }

// APIKey returns the key that identifies the workspace, empty for none.
func (r *Request) APIKey() string { return r.spec.APIKey }

// CallerTimeout returns how long the caller waits after the request arrived, 0 if unknown.
func (r *Request) CallerTimeout() time.Duration { return r.spec.CallerTimeout }

// Model returns the name of the model, empty for a service without one.
func (r *Request) Model() string { return r.spec.Model }

// AnswerTokens returns the expected number of tokens of the answer.
func (r *Request) AnswerTokens() float64 { return float64(r.spec.AnswerTokens) }

// Tokens returns the sum of the prompt tokens and the expected answer tokens.
func (r *Request) Tokens() float64 { return float64(r.spec.PromptTokens + r.spec.AnswerTokens) }

// SharedParts returns the identifiers of the parts of the prompt that other requests may have too.
func (r *Request) SharedParts() []string {
	if len(r.spec.PromptParts) == 0 {
		return nil
	}
	return r.spec.PromptParts[:len(r.spec.PromptParts)-1]
}

// LastEvent returns the number of the last event of the stream that the caller says it has received, -1 for none.
func (r *Request) LastEvent() int { return r.spec.LastEvent }

// Fields returns the header fields to pass on; they must not be modified.
func (r *Request) Fields() Fields { return r.spec.Fields }

// Body returns the request body.
func (r *Request) Body() []byte { return r.spec.Body }

// Content returns the body before BodyReader has read it, nil for none.
func (r *Request) Content() Content { return r.spec.Content }

// ArrivedAt returns the time at which the entry received the request.
func (r *Request) ArrivedAt() time.Time { return r.spec.ArrivedAt }
