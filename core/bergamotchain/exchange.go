package bergamotchain

import (
	"context"
	"time"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotrequest"
)

// Sink takes the answer on its way to the caller.
type Sink interface {
	Token(ctx context.Context, t bergamotrequest.Token) error
	Reply(ctx context.Context, r bergamotrequest.Reply) error
}

// Exchange is one request under way, with what the filters found out about it.
type Exchange struct {
	request   *bergamotrequest.Request
	view      *bergamotcontrol.View
	sink      Sink
	workspace bergamotbundle.Workspace
	pipeline  bergamotbundle.Pipeline
	service   bergamotbundle.Service
	content   [32]byte
	deadline  time.Time
	path      []string
}

// NewExchange returns an exchange that keeps view, and so the bundle version, until its end.
func NewExchange(r *bergamotrequest.Request, view *bergamotcontrol.View, sink Sink) *Exchange {
	return &Exchange{request: r, view: view, sink: sink}
}

// Request returns the request of the caller.
func (x *Exchange) Request() *bergamotrequest.Request { return x.request }

// View returns the control state as it was when the request arrived.
func (x *Exchange) View() *bergamotcontrol.View { return x.view }

// Sink returns where the answer goes.
func (x *Exchange) Sink() Sink { return x.sink }

// SetSink replaces where the answer goes.
func (x *Exchange) SetSink(s Sink) { x.sink = s }

// Workspace returns the workspace of the caller.
func (x *Exchange) Workspace() bergamotbundle.Workspace { return x.workspace }

// SetWorkspace records the workspace of the caller.
func (x *Exchange) SetWorkspace(w bergamotbundle.Workspace) { x.workspace = w }

// Pipeline returns the pipeline that the request names.
func (x *Exchange) Pipeline() bergamotbundle.Pipeline { return x.pipeline }

// SetPipeline records the pipeline that the request names.
func (x *Exchange) SetPipeline(p bergamotbundle.Pipeline) { x.pipeline = p }

// Service returns the service that the request names.
func (x *Exchange) Service() bergamotbundle.Service { return x.service }

// SetService records the service that the request names.
func (x *Exchange) SetService(s bergamotbundle.Service) { x.service = s }

// Content returns the digest of what targets run for the request, the same for each resend of it.
func (x *Exchange) Content() [32]byte { return x.content }

// SetContent records the digest of what targets run for the request.
func (x *Exchange) SetContent(digest [32]byte) { x.content = digest }

// Deadline returns the time by which the caller needs the whole answer.
func (x *Exchange) Deadline() time.Time { return x.deadline }

// SetDeadline records the time by which the caller needs the whole answer.
func (x *Exchange) SetDeadline(t time.Time) { x.deadline = t }

// Path returns the instances that answered, in the order of their use.
func (x *Exchange) Path() []string { return x.path }

// AddPath records instances that took part in the answer.
func (x *Exchange) AddPath(names ...string) { x.path = append(x.path, names...) }
