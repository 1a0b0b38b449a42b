package bergamotfront

import (
	"net/http"
	"testing"
)

// FuzzCompletion guards against a body that causes a panic, reaches the chain although it is invalid, or gets neither
// 200 nor a 4xx that states its reason.
func FuzzCompletion(f *testing.F) {
	for _, seed := range []string{
		chatStream, textStream, `{"model":"m",` + userMessages + `}`, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
		`{"model":"m","prompt":"p","max_tokens":1}`, `[]`, `null`, `{"model":"m","prompt":null,"stop":""}`, "{\"model\":\"\xff\"}",
	} {
		f.Add(seed, true, "")
		f.Add(seed, false, "100")
	}
	f.Fuzz(func(t *testing.T, body string, chat bool, deadline string) {
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		h := &stubHandler{tokens: []string{"a"}}
		w := send(h, http.MethodPost, path, body, HeaderDeadline, deadline)
		switch {
		case w.Code == http.StatusOK && h.received != nil:
		case w.Code >= 400 && w.Code < 500 && h.received == nil && w.Header().Get(HeaderReason) != "" && w.Header().Get(HeaderRun) == "no":
		default:
			t.Fatalf("status %d, dispatched %v: %s", w.Code, h.received != nil, w.Body)
		}
	})
}
