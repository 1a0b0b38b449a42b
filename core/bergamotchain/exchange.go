package bergamotchain

import (
	"context"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotrequest"
)

// Sink receives the answer and passes it to the caller.
type Sink interface {
	Token(ctx context.Context, t bergamotrequest.Token) error
	Reply(ctx context.Context, r bergamotrequest.Reply) error
}

// Exchange is a request in progress, together with what the filters have determined about it.
type Exchange struct {
	request       *bergamotrequest.Request
	view          *bergamotcontrol.View
	sink          Sink
	workspace     bergamotbundle.Workspace
	pipeline      bergamotbundle.Pipeline
	service       bergamotbundle.Service
	contentDigest [32]byte
	deadline      time.Time
	path          []string
}

// NewExchange returns an exchange that uses view, and with it one bundle version, until it ends.
func NewExchange(r *bergamotrequest.Request, view *bergamotcontrol.View, sink Sink) *Exchange {
	return &Exchange{request: r, view: view, sink: sink}
}

// Request returns the request of the caller.
func (x *Exchange) Request() *bergamotrequest.Request { return x.request }

// View returns the control state at the time the request arrived.
func (x *Exchange) View() *bergamotcontrol.View { return x.view }

// Sink returns the receiver of the answer.
func (x *Exchange) Sink() Sink { return x.sink }

// SetSink replaces the receiver of the answer.
func (x *Exchange) SetSink(s Sink) { x.sink = s }

// Workspace returns the workspace of the caller.
func (x *Exchange) Workspace() bergamotbundle.Workspace { return x.workspace }

// SetWorkspace sets the workspace of the caller.
func (x *Exchange) SetWorkspace(w bergamotbundle.Workspace) { x.workspace = w }

// Pipeline returns the pipeline that the request names.
func (x *Exchange) Pipeline() bergamotbundle.Pipeline { return x.pipeline }

// SetPipeline sets the pipeline that the request names.
func (x *Exchange) SetPipeline(p bergamotbundle.Pipeline) { x.pipeline = p }

// Service returns the service that the request names.
func (x *Exchange) Service() bergamotbundle.Service { return x.service }

// SetService sets the service that the request names.
func (x *Exchange) SetService(s bergamotbundle.Service) { x.service = s }

// ContentDigest returns the digest of the model version, adapter and prompt; it is the same for every resend of a request.
func (x *Exchange) ContentDigest() [32]byte { return x.contentDigest }

// SetContentDigest sets the digest of the model version, adapter and prompt.
func (x *Exchange) SetContentDigest(digest [32]byte) { x.contentDigest = digest }

// Deadline returns the time by which the caller needs the whole answer.
func (x *Exchange) Deadline() time.Time { return x.deadline }

// SetDeadline sets the time by which the caller needs the whole answer.
func (x *Exchange) SetDeadline(t time.Time) { x.deadline = t }

// Path returns the names of the instances that produced the answer, in order of use.
func (x *Exchange) Path() []string { return x.path }

// AddPath appends the names of instances that produced part of the answer.
func (x *Exchange) AddPath(names ...string) { x.path = append(x.path, names...) }
