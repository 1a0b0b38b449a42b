package bergamotfront

import (
	"net/http"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// defaultLimit is the count of tokens when the caller names none, as in the API that clients know.
const defaultLimit = 16

// chatLimit is the same for chat completions, where the pipeline's limit is what binds.
const chatLimit = 1 << 20

func (s *Server) complete(w http.ResponseWriter, r *http.Request, kind bergamotrequest.Kind) {
	req, usage, err := s.completion(w, r, kind)
	if err != nil {
		writeRefusal(w, bergamotrequest.AsRefusal(err))
		return
	}
	out := newSink(w, req, s.Clock.Now())
	out.usage = usage
	x := bergamotchain.NewExchange(req, s.Views.View(), out)
	if err = s.Chain.Handle(r.Context(), x); err != nil {
		out.fail(bergamotrequest.AsRefusal(err))
		return
	}
	out.finish(x)
}

// completion decodes the request of a completion call; usage tells whether a stream ends with the usage.
func (s *Server) completion(w http.ResponseWriter, r *http.Request, kind bergamotrequest.Kind) (req *bergamotrequest.Request, usage bool, err error) {
	spec, err := s.spec(r, kind)
	if err != nil {
		return nil, false, err
	}
	data, err := readBody(w, r)
	if err != nil {
		return nil, false, err
	}
	b, err := decodeBody(data)
	if err != nil {
		return nil, false, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	spec.Model, spec.Stream, spec.MaxTokens = b.Model, b.Stream, b.limit(defaultLimit)
	prompt := b.textPrompt
	if kind == bergamotrequest.KindChat {
		prompt, spec.MaxTokens = b.chatPrompt, b.limit(chatLimit)
	}
	if spec.Prompt, err = prompt(); err != nil {
		return nil, false, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	if b.Seed != nil {
		spec.Seed = *b.Seed
	}
	if req, err = bergamotrequest.New(spec); err != nil {
		return nil, false, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	return req, b.usage(), nil
}
