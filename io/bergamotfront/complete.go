package bergamotfront

import (
	"net/http"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotrequest"
)

// defaultMaxTokens is the token limit of a completion without max_tokens, as in the completions API.
const defaultMaxTokens = 16

// defaultMaxChatTokens is the token limit of a chat completion without max_tokens; it is so high that the pipeline's
// limit applies instead.
const defaultMaxChatTokens = 1 << 20

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request, kind bergamotrequest.Kind) {
	in := s.newIntake(w, r)
	defer in.end()
	req, wantsUsage, err := s.completionRequest(in, r, kind)
	if err != nil {
		in.refuse(w, bergamotrequest.AsRefusal(err))
		return
	}
	out := newCompletionSink(w, req, s.Clock.Now())
	out.wantsUsage = wantsUsage
	x := bergamotchain.NewExchange(req, s.Views.View(), out)
	if err = s.Chain.Handle(r.Context(), x); err != nil {
		out.fail(bergamotrequest.AsRefusal(err))
		return
	}
	out.finish(x)
}

// completionRequest decodes a completion call; wantsUsage reports whether the stream ends with a usage event.
func (s *Server) completionRequest(in *intake, r *http.Request, kind bergamotrequest.Kind) (req *bergamotrequest.Request, wantsUsage bool, err error) {
	spec, err := s.spec(r, kind)
	if err != nil {
		return nil, false, err
	}
	data, err := in.read()
	if err != nil {
		return nil, false, err
	}
	b, err := decodeBody(data)
	if err != nil {
		return nil, false, bergamotrequest.Refuse(bergamotrequest.ReasonBody, "%s", err)
	}
	spec.Model, spec.Stream, spec.MaxTokens = b.Model, b.Stream, b.maxTokens(defaultMaxTokens)
	prompt := b.textPrompt
	if kind == bergamotrequest.KindChat {
		prompt, spec.MaxTokens = b.chatPrompt, b.maxTokens(defaultMaxChatTokens)
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
	return req, b.wantsUsage(), nil
}
