package bergamotfront

import (
	"encoding/json"
	"io"
	"net/http"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// defaultLimit is the count of tokens when the caller names none, as in the API that clients know.
const defaultLimit = 16

// chatLimit is the same for chat completions, where the pipeline's limit is what binds.
const chatLimit = 1 << 20

func (s *Server) complete(w http.ResponseWriter, r *http.Request, kind bergamotrequest.Kind) {
	req, err := s.completion(w, r, kind)
	if err != nil {
		writeRefusal(w, bergamotrequest.AsRefusal(err))
		return
	}
	out := newSink(w, req, s.Clock.Now())
	x := bergamotchain.NewExchange(req, s.Views.View(), out)
	if err = s.Chain.Handle(r.Context(), x); err != nil {
		out.fail(bergamotrequest.AsRefusal(err))
		return
	}
	out.finish(x.Path())
}

// completion decodes the request of a completion call.
func (s *Server) completion(w http.ResponseWriter, r *http.Request, kind bergamotrequest.Kind) (req *bergamotrequest.Request, err error) {
	spec, err := s.spec(r, kind)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequest))
	if err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "the body could not be read: %s", err)
	}
	var b completionBody
	if err = json.Unmarshal(data, &b); err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "the body is not valid JSON for this call: %s", err)
	}
	if err = b.unsupported(); err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	spec.Model, spec.Stream, spec.Limit = b.Model, b.Stream, b.limit(defaultLimit)
	prompt := b.textPrompt
	if kind == bergamotrequest.KindChat {
		prompt, spec.Limit = b.chatPrompt, b.limit(chatLimit)
	}
	if spec.Prompt, err = prompt(); err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	if b.Seed != nil {
		spec.Seed = *b.Seed
	}
	if req, err = bergamotrequest.New(spec); err != nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	return req, nil
}
