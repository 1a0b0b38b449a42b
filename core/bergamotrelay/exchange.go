package bergamotrelay

import (
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotstep"
)

// Handler answers one exchange; it returns a *bergamotrequest.Refusal when it does not.
type Handler = bergamotstep.Handler[*Exchange]

// Filter is one step that every request passes through before the handler.
type Filter = bergamotstep.Filter[*Exchange]

// Sink takes the answer on its way to the caller.
type Sink interface {
	// Reply sends a whole answer.
	Reply(status int, fields Fields, body []byte) error
	// Start sends the head of a stream.
	Start(status int, fields Fields) error
	// Events sends whole events of a stream.
	Events(data []byte) error
}

// Exchange is one request under way, with what the filters found out about it.
type Exchange struct {
	request   *Request
	view      *bergamotcluster.View
	sink      Sink
	route     bergamotconfig.Route
	workspace bergamotconfig.Workspace
	service   bergamotconfig.Service
	deadline  time.Time
	trace     Trace
}

// NewExchange returns an exchange that keeps view, and so the version of the configuration, until its end.
func NewExchange(r *Request, view *bergamotcluster.View, sink Sink) *Exchange {
	return &Exchange{request: r, view: view, sink: sink}
}

// Request returns the request of the caller.
func (x *Exchange) Request() *Request { return x.request }

// View returns the control state as it was when the request arrived.
func (x *Exchange) View() *bergamotcluster.View { return x.view }

// Sink returns where the answer goes.
func (x *Exchange) Sink() Sink { return x.sink }

// Route returns the route of the request.
func (x *Exchange) Route() bergamotconfig.Route { return x.route }

// SetRoute records the route of the request and the service that answers it.
func (x *Exchange) SetRoute(r bergamotconfig.Route, s bergamotconfig.Service) {
	x.route, x.service = r, s
}

// Service returns the service that answers the request.
func (x *Exchange) Service() bergamotconfig.Service { return x.service }

// Workspace returns the workspace of the caller, without a name on a public route.
func (x *Exchange) Workspace() bergamotconfig.Workspace { return x.workspace }

// SetWorkspace records the workspace of the caller.
func (x *Exchange) SetWorkspace(w bergamotconfig.Workspace) { x.workspace = w }

// Deadline returns the time by which the caller needs the whole answer.
func (x *Exchange) Deadline() time.Time { return x.deadline }

// SetDeadline records the time by which the caller needs the whole answer.
func (x *Exchange) SetDeadline(t time.Time) { x.deadline = t }

// Priority returns the rank of the request; 0 is the most urgent.
func (x *Exchange) Priority() int {
	if p, ok := x.workspace.Priority(); ok {
		return p
	}
	return x.route.Priority()
}

// Trace returns what was done for the request.
func (x *Exchange) Trace() *Trace { return &x.trace }
