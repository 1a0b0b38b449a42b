package bergamotfront

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type streamCase struct {
	path   string
	body   string
	tokens []string
	err    error
	want   []string // events in order, without id, created and model
}

// parseEvents returns the data of each server-sent event. It checks and removes id, created and model, which must be
// the same in all events; an error and [DONE] are returned as they are.
func parseEvents(w *httptest.ResponseRecorder) (events []string) {
	gomega.Expect(w.Code).To(gomega.Equal(http.StatusOK))
	gomega.Expect(w.Header().Get("Content-Type")).To(gomega.Equal("text/event-stream"))
	gomega.Expect(w.Body.String()).To(gomega.HaveSuffix("\n\n"))
	ids := map[any]bool{}
	for _, event := range strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n") {
		data, ok := strings.CutPrefix(event, "data: ")
		gomega.Expect(ok).To(gomega.BeTrue(), event)
		var m map[string]any
		if data == "[DONE]" || json.Unmarshal([]byte(data), &m) != nil || m["error"] != nil {
			events = append(events, data)
			continue
		}
		gomega.Expect(m["created"]).To(gomega.BeEquivalentTo(1000))
		gomega.Expect(m["model"]).To(gomega.Equal("m"))
		ids[m["id"]] = true
		for _, key := range []string{"id", "created", "model"} {
			delete(m, key)
		}
		text, _ := json.Marshal(m)
		events = append(events, string(text))
	}
	gomega.Expect(len(ids)).To(gomega.BeNumerically("<=", 1), "one id in all events")
	return events
}

const (
	chatStream      = `{"model":"m","stream":true,"max_tokens":2,"temperature":0.5,"unknown_field":{"a":[1]},` + userMessages + `}`
	textStream      = `{"model":"m","stream":true,"max_tokens":9,"prompt":["p"]}`
	streamWithUsage = `"stream":true,"stream_options":{"include_usage":true}`
)

func chatEvent(delta, finish string) string {
	return `{"choices":[{"delta":` + delta + `,"finish_reason":` + finish + `,"index":0}],"object":"chat.completion.chunk"}`
}

func textEvent(text, finish string) string {
	return `{"choices":[{"finish_reason":` + finish + `,"index":0,"text":"` + text + `"}],"object":"text_completion"}`
}

var _ = ginkgo.Describe("a stream", func() {
	const chat = "/v1/chat/completions"
	// Guards against events that client libraries cannot assemble into an answer, and against an incomplete answer
	// that looks complete.
	bergamottest.Cases(map[string]streamCase{
		"of a chat has the role in its first event and the finish reason in its last": {
			path: chat, body: chatStream, tokens: []string{"a"},
			want: []string{chatEvent(`{"content":"a","role":"assistant"}`, "null"), chatEvent(`{}`, `"stop"`), "[DONE]"},
		},
		"that reaches the token limit has the finish reason length": {
			path: chat, body: chatStream, tokens: []string{"a", ""},
			want: []string{
				chatEvent(`{"content":"a","role":"assistant"}`, "null"), chatEvent(`{"content":""}`, "null"), chatEvent(`{}`, `"length"`), "[DONE]",
			},
		},
		"without tokens still has a role": {
			path: chat, body: chatStream, want: []string{chatEvent(`{"role":"assistant"}`, `"stop"`), "[DONE]"},
		},
		"of a completion has text": {
			path: "/v1/completions", body: textStream, tokens: []string{"a", "b"},
			want: []string{textEvent("a", "null"), textEvent("b", "null"), textEvent("", `"stop"`), "[DONE]"},
		},
		"ends with the usage if requested": {
			path: chat, body: `{"model":"m",` + streamWithUsage + `,` + userMessages + `}`, tokens: []string{"a"},
			want: []string{
				chatEvent(`{"content":"a","role":"assistant"}`, "null"), chatEvent(`{}`, `"stop"`),
				`{"choices":[],"object":"chat.completion.chunk","usage":{"completion_tokens":1,"prompt_tokens":0,"total_tokens":1}}`, "[DONE]",
			},
		},
		"of a completion ends with the usage if requested": {
			path: "/v1/completions", body: `{"model":"m","prompt":"p",` + streamWithUsage + `}`,
			want: []string{
				textEvent("", `"stop"`),
				`{"choices":[],"object":"text_completion","usage":{"completion_tokens":0,"prompt_tokens":0,"total_tokens":0}}`, "[DONE]",
			},
		},
		"that fails after its first token ends with an error and without [DONE]": {
			path: chat, body: `{"model":"m",` + streamWithUsage + `,` + userMessages + `}`, tokens: []string{"a"},
			err: bergamotrequest.Refuse(bergamotrequest.ReasonStall, "gone").WithRun(bergamotrequest.RunYes),
			want: []string{
				chatEvent(`{"content":"a","role":"assistant"}`, "null"),
				`{"error":{"message":"gone","type":"server_error","param":null,"code":"stall","run":"yes"}}`,
			},
		},
		"that fails with a plain error ends with an error": {
			path: "/v1/completions", body: textStream, tokens: []string{"a"}, err: errors.New("gone"),
			want: []string{
				textEvent("a", "null"), `{"error":{"message":"gone","type":"server_error","param":null,"code":"internal","run":"unknown"}}`,
			},
		},
	}, func(c streamCase) {
		gomega.Expect(parseEvents(send(&stubHandler{tokens: c.tokens, err: c.err}, http.MethodPost, c.path, c.body))).To(gomega.Equal(c.want))
	})
})

type wholeCase struct {
	path, body, want string
}

var _ = ginkgo.Describe("an answer", func() {
	// Guards against a body that client libraries do not recognise.
	bergamottest.Cases(map[string]wholeCase{
		"of a chat": {
			path: "/v1/chat/completions", body: `{"model":"m",` + userMessages + `}`,
			want: `{"choices":[{"finish_reason":"stop","index":0,"message":{"content":"ab","role":"assistant"}}],"created":1000,"model":"m",` +
				`"object":"chat.completion","usage":{"completion_tokens":2,"prompt_tokens":0,"total_tokens":2}}`,
		},
		"of a completion at its limit": {
			path: "/v1/completions", body: `{"model":"m","prompt":"p","max_tokens":2}`,
			want: `{"choices":[{"finish_reason":"length","index":0,"text":"ab"}],"created":1000,"model":"m","object":"text_completion",` +
				`"usage":{"completion_tokens":2,"prompt_tokens":0,"total_tokens":2}}`,
		},
	}, func(c wholeCase) {
		w := send(&stubHandler{tokens: []string{"a", "b"}}, http.MethodPost, c.path, c.body)
		gomega.Expect(w.Code).To(gomega.Equal(http.StatusOK))
		var m map[string]any
		gomega.Expect(json.Unmarshal(w.Body.Bytes(), &m)).To(gomega.Succeed())
		gomega.Expect(m["id"]).To(gomega.HavePrefix("entry1-"))
		delete(m, "id")
		gomega.Expect(json.Marshal(m)).To(gomega.MatchJSON(c.want))
	})

	// Guards against a route that does not match a model name with a slash, and against a case-sensitive
	// authentication scheme.
	ginkgo.It("describes a model whose name contains a slash", func() {
		w := send(&stubHandler{}, http.MethodGet, "/v1/models/shop/advice", "", "Authorization", "bearer "+testKey)
		gomega.Expect(w.Body.String()).To(gomega.MatchJSON(`{"id":"shop/advice","object":"model","created":0,"owned_by":"bergamotspur"}`))
	})

	// Guards against a panic in net/http on an invalid status.
	ginkgo.It("of a service with an invalid status is an error", func() {
		for _, status := range []int{0, 101, 1000} {
			reply := bergamotrequest.NewReply(status, "", nil)
			w := send(&stubHandler{reply: &reply}, http.MethodPost, "/v1/services/pickup/book", "{}")
			expectRefusal(w, http.StatusBadGateway, "target", "unknown", "", "server_error")
		}
	})

	// Guards against a reply whose status, content type or body changes on the way to the caller.
	ginkgo.It("of a service is passed on unchanged", func() {
		reply := bergamotrequest.NewReply(http.StatusTeapot, "text/x", []byte("tea")).AsReplay()
		w := send(&stubHandler{reply: &reply}, http.MethodGet, "/v1/services/pickup/book", "")
		gomega.Expect([]string{w.Body.String(), w.Header().Get("Content-Type"), w.Header().Get(HeaderReplay)}).To(gomega.Equal([]string{"tea", "text/x", "yes"}))
		gomega.Expect(w.Code).To(gomega.Equal(http.StatusTeapot))
	})
})
