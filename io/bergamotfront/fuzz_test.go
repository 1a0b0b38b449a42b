package bergamotfront

import (
	"net/http"
	"testing"
)

// Guards against a body that panics, reaches a target although it is malformed, or gets neither 200 nor a clear 4xx.
func FuzzCompletion(f *testing.F) {
	for _, seed := range []string{
		chatStream, textStream, `{"model":"m",` + user + `}`, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`,
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
		a := &answer{tokens: []string{"a"}}
		w := send(a, http.MethodPost, path, body, HeaderDeadline, deadline)
		switch {
		case w.Code == http.StatusOK && a.seen != nil:
		case w.Code >= 400 && w.Code < 500 && a.seen == nil && w.Header().Get(HeaderReason) != "" && w.Header().Get(HeaderRun) == "no":
		default:
			t.Fatalf("status %d, dispatched %v: %s", w.Code, a.seen != nil, w.Body)
		}
	})
}
