package bergamotfront

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// handleServiceCall handles a call to a plain service.
func (s *Server) handleServiceCall(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost && r.Method != http.MethodGet {
		withoutBody(func(w http.ResponseWriter, r *http.Request) { writeMethodNotAllowed(w, r, "GET, POST") })(w, r)
		return
	}
	in := s.newIntake(w, r)
	defer in.end()
	req, err := s.serviceRequest(in, r)
	if err != nil {
		in.refuse(w, bergamotrequest.AsRefusal(err))
		return
	}
	out := &replySink{}
	x := bergamotchain.NewExchange(req, s.Views.View(), out)
	if err = s.Chain.Handle(r.Context(), x); err != nil {
		writeRefusal(w, bergamotrequest.AsRefusal(err))
		return
	}
	if out.reply.Status() < http.StatusOK || out.reply.Status() > 999 {
		// net/http panics on some of these statuses and sends others as interim replies.
		writeRefusal(w, bergamotrequest.Refuse(bergamotrequest.ReasonTarget, "service %s gave no usable reply", req.Service()).
			WithRun(bergamotrequest.RunUnknown))
		return
	}
	w.Header().Set("Content-Type", out.reply.ContentType())
	w.Header().Set(HeaderPath, strings.Join(x.Path(), ","))
	if out.reply.IsReplay() {
		w.Header().Set(HeaderReplay, "yes")
	}
	w.WriteHeader(out.reply.Status())
	// A caller that has disconnected can retry with the same idempotency key.
	_, _ = w.Write(out.reply.Body())
}

// serviceRequest decodes a call to a plain service.
func (s *Server) serviceRequest(in *intake, r *http.Request) (req *bergamotrequest.Request, err error) {
	spec, err := s.spec(r, bergamotrequest.KindService)
	if err != nil {
		return nil, err
	}
	spec.Service, spec.Call = r.PathValue("service"), r.PathValue("call")
	if spec.Body, err = in.read(); err != nil {
		return nil, err
	}
	if req, err = bergamotrequest.New(spec); err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	return req, nil
}

// replySink holds the reply of a service until the chain returns.
type replySink struct{ reply bergamotrequest.Reply }

// Token returns an error, since a service call has no tokens.
func (s *replySink) Token(context.Context, bergamotrequest.Token) error {
	return errors.New("a service reply has no tokens")
}

// Reply stores the reply.
func (s *replySink) Reply(_ context.Context, r bergamotrequest.Reply) error {
	s.reply = r
	return nil
}
