package bergamotrequest

// Reply is the response of a plain service, which is a service without a model.
type Reply struct {
	status      int
	contentType string
	body        []byte
	replay      bool
}

// NewReply returns a reply with the status, content type and body sent by the service.
func NewReply(status int, contentType string, body []byte) Reply {
	return Reply{status: status, contentType: contentType, body: body}
}

// AsReplay returns a copy of r marked as the stored reply of an earlier call.
func (r Reply) AsReplay() Reply {
	r.replay = true
	return r
}

// Status returns the HTTP status code.
func (r Reply) Status() int { return r.status }

// ContentType returns the content type.
func (r Reply) ContentType() string { return r.contentType }

// Body returns the response body.
func (r Reply) Body() []byte { return r.body }

// IsReplay reports whether the reply is the stored reply of an earlier call.
func (r Reply) IsReplay() bool { return r.replay }
