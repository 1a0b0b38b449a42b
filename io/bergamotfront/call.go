package bergamotfront

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// call answers a request for a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	req, err := s.serviceRequest(w, r)
	if err != nil {
		writeRefusal(w, bergamotrequest.AsRefusal(err))
		return
	}
	out := &replySink{}
	x := bergamotchain.NewExchange(req, s.Views.View(), out)
	if err = s.Chain.Handle(r.Context(), x); err != nil {
		writeRefusal(w, bergamotrequest.AsRefusal(err))
		return
	}
	w.Header().Set("Content-Type", out.reply.Kind())
	w.Header().Set(HeaderPath, strings.Join(x.Path(), ","))
	if out.reply.Replay() {
		w.Header().Set(HeaderReplay, "yes")
	}
	w.WriteHeader(out.reply.Status())
	// A caller that has gone away asks again with the same idempotency key.
	_, _ = w.Write(out.reply.Body())
}

func (s *Server) serviceRequest(w http.ResponseWriter, r *http.Request) (req *bergamotrequest.Request, err error) {
	if r.Method != http.MethodPost && r.Method != http.MethodGet {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "services take GET and POST")
	}
	spec, err := s.spec(r, bergamotrequest.KindService)
	if err != nil {
		return nil, err
	}
	spec.Service, spec.Call = r.PathValue("service"), r.PathValue("call")
	if spec.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest)); err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "the body could not be read: %s", err)
	}
	if req, err = bergamotrequest.New(spec); err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	return req, nil
}

// replySink keeps the reply of a service until the chain has ended.
type replySink struct{ reply bergamotrequest.Reply }

// Token is not used by service calls.
func (s *replySink) Token(context.Context, bergamotrequest.Token) error {
	return errors.New("a service reply has no tokens")
}

// Reply keeps the reply.
func (s *replySink) Reply(_ context.Context, r bergamotrequest.Reply) error {
	s.reply = r
	return nil
}
