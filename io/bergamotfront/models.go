package bergamotfront

import (
	"net/http"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrequest"
)

type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// handleModels lists the model names that the caller's workspace may use.
func (s *Server) handleModels(w http.ResponseWriter, r *http.Request) {
	names, refusal := s.allowedModels(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	list := modelList{Object: "list", Data: []modelBody{}}
	for _, name := range names {
		list.Data = append(list.Data, newModelBody(name))
	}
	writeJSON(w, http.StatusOK, list)
}

// handleModel describes one model that the caller's workspace may use.
func (s *Server) handleModel(w http.ResponseWriter, r *http.Request) {
	names, refusal := s.allowedModels(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	for _, name := range names {
		if name == r.PathValue("model") {
			writeJSON(w, http.StatusOK, newModelBody(name))
			return
		}
	}
	writeRefusal(w, bergamotrequest.Refuse(bergamotrequest.ReasonModel, "no pipeline or adapter is called %q", r.PathValue("model")))
}

// allowedModels returns the model names that the workspace of the API key may use.
func (s *Server) allowedModels(r *http.Request) (names []string, refusal *bergamotrequest.Refusal) {
	spec, err := s.spec(r, bergamotrequest.KindCompletion)
	if err != nil {
		return nil, bergamotrequest.AsRefusal(err)
	}
	b := s.Views.View().Bundle()
	if b == nil {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonBundle, "no bundle is in force yet").WithRetryAfter(defaultRetryDelay)
	}
	workspace, ok := b.WorkspaceByKey(spec.APIKey)
	if !ok {
		return nil, bergamotrequest.Refuse(bergamotrequest.ReasonKey, "the API key is missing or unknown")
	}
	return allowedPipelines(b, workspace), nil
}

func allowedPipelines(b *bergamotbundle.Bundle, w bergamotbundle.Workspace) (names []string) {
	for _, name := range b.Pipelines() {
		if w.CanUsePipeline(name) {
			names = append(names, name)
		}
	}
	return names
}

func newModelBody(name string) modelBody {
	return modelBody{ID: name, Object: "model", Owner: "bergamotspur"}
}
