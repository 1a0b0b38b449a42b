package bergamotrequest

// Reply is the answer of a plain service.
type Reply struct {
	status int
	kind   string
	body   []byte
	replay bool
}

// NewReply returns a reply with the service's status, content type and body.
func NewReply(status int, kind string, body []byte) Reply {
	return Reply{status: status, kind: kind, body: body}
}

// Replayed returns a copy of r marked as the stored answer of an earlier call.
func (r Reply) Replayed() Reply {
	r.replay = true
	return r
}

// Status returns the status code of the service.
func (r Reply) Status() int { return r.status }

// Kind returns the content type.
func (r Reply) Kind() string { return r.kind }

// Body returns the content.
func (r Reply) Body() []byte { return r.body }

// Replay tells whether the reply was stored by an earlier call.
func (r Reply) Replay() bool { return r.replay }
