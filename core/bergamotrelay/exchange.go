package bergamotrelay

import (
	"sync"
	"time"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotstep"
	"bergamotspur/core/bergamotsuspect"
)

// Handler answers one exchange, or returns a *bergamotrequest.Refusal.
type Handler = bergamotstep.Handler[*Exchange]

// Filter is one step of the chain that every request passes through before it reaches the handler.
type Filter = bergamotstep.Filter[*Exchange]

// Sink writes the response to the caller.
type Sink interface {
	// Reply sends a complete response.
	Reply(status int, fields Fields, body []byte) error
	// StartStream sends the status and the header fields of a stream.
	StartStream(status int, fields Fields) error
	// WriteEvents sends one or more complete events of a stream.
	WriteEvents(data []byte) error
}

// Exchange is one request in progress, together with what the filters have determined about it.
type Exchange struct {
	request   *Request
	view      *bergamotcluster.View
	sink      Sink
	route     bergamotconfig.Route
	workspace bergamotconfig.Workspace
	service   bergamotconfig.Service
	deadline  time.Time
	trace     Trace
	contents  []bergamotsuspect.Digest // set by hash
	hash      sync.Once
}

// NewExchange returns an exchange that uses view, and so one version of the configuration, until its end.
func NewExchange(r *Request, view *bergamotcluster.View, sink Sink) *Exchange {
	return &Exchange{request: r, view: view, sink: sink}
}

// Request returns the caller's request.
func (x *Exchange) Request() *Request { return x.request }

// View returns the control state at the time the request arrived.
func (x *Exchange) View() *bergamotcluster.View { return x.view }

// Sink returns the sink for the response.
func (x *Exchange) Sink() Sink { return x.sink }

// Route returns the route of the request.
func (x *Exchange) Route() bergamotconfig.Route { return x.route }

// SetRoute sets the route of the request and the service that answers it.
func (x *Exchange) SetRoute(r bergamotconfig.Route, s bergamotconfig.Service) {
	x.route, x.service = r, s
}

// Service returns the service that answers the request.
func (x *Exchange) Service() bergamotconfig.Service { return x.service }

// Workspace returns the workspace of the caller; its name is empty on a public route.
func (x *Exchange) Workspace() bergamotconfig.Workspace { return x.workspace }

// SetWorkspace sets the workspace of the caller.
func (x *Exchange) SetWorkspace(w bergamotconfig.Workspace) { x.workspace = w }

// Deadline returns the time by which the response must be complete.
func (x *Exchange) Deadline() time.Time { return x.deadline }

// SetDeadline sets the time by which the response must be complete.
func (x *Exchange) SetDeadline(t time.Time) { x.deadline = t }

// Priority returns the priority of the request; 0 is the most urgent.
func (x *Exchange) Priority() int {
	if p, ok := x.workspace.Priority(); ok {
		return p
	}
	return x.route.Priority()
}

// LastEvent returns the number of the event after which the stream goes on, -1 for its beginning. What the caller says of it holds only where
// the route allows it: a run that may not be resumed sends all its events.
func (x *Exchange) LastEvent() int {
	if !x.route.IsResumable() {
		return -1
	}
	return x.request.LastEvent()
}

// Trace returns the record of the steps taken for the request.
func (x *Exchange) Trace() *Trace { return &x.trace }

// RecordFilter records the last filter that the request has reached.
func (x *Exchange) RecordFilter(name string) { x.trace.filter = name }

// Contents returns the digests of what may make a runner crash: the whole request of this caller, then each shared part of
// its prompt. It may be called concurrently once the workspace and the service are set.
func (x *Exchange) Contents() []bergamotsuspect.Digest {
	x.hash.Do(func() {
		r := x.request
		x.contents = append(x.contents, bergamotsuspect.NewDigest(
			"request", x.service.Name(), x.workspace.Name(), r.Method(), r.Host(), r.URI(), r.Model(), string(r.Body())))
		for _, part := range r.SharedParts() {
			x.contents = append(x.contents, bergamotsuspect.NewDigest("part", r.Model(), part))
		}
	})
	return x.contents
}
