package bergamotfront

import (
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type refusalCase struct {
	err    error
	status int
	reason string
	run    string
	retry  string
	kind   string
}

func refuse(r bergamotrequest.Reason) *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(r, "text")
}

var _ = ginkgo.Describe("a rejection", func() {
	const invalid, server = "invalid_request_error", "server_error"
	table := map[string]refusalCase{
		"body":     {status: 400, kind: invalid},
		"size":     {status: 413, kind: invalid},
		"route":    {status: 404, kind: invalid},
		"key":      {status: 401, kind: "authentication_error"},
		"access":   {status: 403, kind: "permission_error"},
		"model":    {status: 404, kind: invalid},
		"service":  {status: 404, kind: invalid},
		"idem":     {status: 400, kind: invalid},
		"bundle":   {status: 503, retry: "1", kind: server},
		"stale":    {status: 503, retry: "1", kind: server},
		"drain":    {status: 503, retry: "1", kind: server},
		"deadline": {status: 504, kind: server},
		"rate":     {status: 429, retry: "1", kind: "rate_limit_error"},
		"tokens":   {status: 429, retry: "1", kind: "rate_limit_error"},
		"full":     {status: 503, retry: "1", kind: server},
		"suspect":  {status: 422, kind: invalid},
		"digest":   {status: 422, kind: invalid},
		"progress": {status: 409, kind: invalid},
		"unknown":  {status: 502, kind: server},
		"table":    {status: 503, retry: "1", kind: server},
		"object":   {status: 503, retry: "1", kind: server},
		"path":     {status: 503, retry: "1", kind: server},
		"target":   {status: 502, kind: server},
		"stall":    {status: 504, kind: server},
		"proof":    {status: 502, kind: server},
		"budget":   {status: 503, retry: "1", kind: server},
		"cancel":   {status: 503, retry: "1", kind: server},
		"internal": {status: 500, kind: server},
	}
	for name, c := range table {
		c.err, c.reason, c.run = refuse(bergamotrequest.Reason(name)), name, "no"
		table[name] = c
	}
	table["that may have run"] = refusalCase{
		err: refuse(bergamotrequest.ReasonPath).WithRun(bergamotrequest.RunUnknown), status: 503, reason: "path", run: "unknown", kind: server,
	}
	table["that ran"] = refusalCase{
		err: refuse(bergamotrequest.ReasonTarget).WithRun(bergamotrequest.RunYes), status: 502, reason: "target", run: "yes", kind: server,
	}
	table["with a time to wait, rounded up"] = refusalCase{
		err: refuse(bergamotrequest.ReasonRate).WithRetryAfter(1500 * time.Millisecond), status: 429, reason: "rate", run: "no",
		retry: "2", kind: "rate_limit_error",
	}
	table["from a plain error"] = refusalCase{err: errors.New("text"), status: 500, reason: "internal", run: "unknown", kind: server}

	// Guards against a status, header or body that tells a caller the wrong thing about a retry.
	bergamottest.Cases(table, func(c refusalCase) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/v1/services/pickup/book"} {
			body := `{"model":"m","prompt":"p","messages":[{"role":"user","content":"p"}],"stream":true}`
			expectRefusal(send(&answer{err: c.err}, http.MethodPost, path, body), c.status, c.reason, c.run, c.retry, c.kind)
		}
	})

	// Guards against a reason that is added without a decision about its status.
	ginkgo.It("has a case for every reason", func() {
		for _, r := range bergamotrequest.Reasons() {
			gomega.Expect(table).To(gomega.HaveKey(string(r)))
		}
	})
})

type inputCase struct {
	method string // POST by default
	path   string // chat completions by default
	body   string
	header []string
	status int // 400 by default
	reason string
	text   string // part of the message
}

const user = `"messages":[{"role":"user","content":"hi"}]`

var _ = ginkgo.Describe("bad input", func() {
	// Guards against input that panics, that reaches a target, or whose rejection does not name the fault.
	bergamottest.Cases(map[string]inputCase{
		"no body":                  {text: "not valid JSON at byte 0"},
		"no JSON":                  {body: `{"model"`, text: "not valid JSON at byte 8"},
		"two values":               {body: `{"model":"m"} {}`, text: "not valid JSON at byte"},
		"a list":                   {body: `[]`, text: "must be a JSON object, not a array"},
		"deep nesting":             {body: strings.Repeat("[", 20000), text: "not valid JSON"},
		"a number as model":        {body: `{"model":1}`, text: "field model cannot be a number"},
		"a text as stream":         {body: `{"model":"m","stream":"yes"}`, text: "field stream cannot be a string"},
		"a huge limit":             {body: `{"model":"m","max_tokens":1e30}`, text: "field max_tokens cannot be a number"},
		"a negative seed":          {body: `{"model":"m","seed":-1}`, text: "field seed cannot be a number"},
		"no model":                 {body: `{` + user + `}`, text: "names no model"},
		"no tokens":                {body: `{"model":"m","max_tokens":0,` + user + `}`, text: "asks for no tokens"},
		"a negative limit":         {body: `{"model":"m","max_completion_tokens":-5,` + user + `}`, text: "asks for no tokens"},
		"no messages":              {body: `{"model":"m"}`, text: "messages is empty"},
		"a message without role":   {body: `{"model":"m","messages":[{"content":"x"}]}`, text: "messages[0].role must be one of"},
		"a role with a line end":   {body: `{"model":"m","messages":[{"role":"user\nsystem","content":"x"}]}`, text: "messages[0].role"},
		"a message without text":   {body: `{"model":"m","messages":[{"role":"user"}]}`, text: "messages[0].content must be"},
		"a part with an image":     {body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, text: "other than text"},
		"two answers":              {body: `{"model":"m","n":2,` + user + `}`, text: "n other than 1"},
		"stop":                     {body: `{"model":"m","stop":"x",` + user + `}`, text: "stop is not supported"},
		"tools":                    {body: `{"model":"m","tools":[{}],` + user + `}`, text: "tools are not supported"},
		"functions":                {body: `{"model":"m","functions":[{}],` + user + `}`, text: "tools are not supported"},
		"logprobs":                 {body: `{"model":"m","logprobs":true,` + user + `}`, text: "logprobs is not supported"},
		"a JSON answer":            {body: `{"model":"m","response_format":{"type":"json_object"},` + user + `}`, text: "response_format"},
		"usage without a stream":   {body: `{"model":"m","stream_options":{"include_usage":true},` + user + `}`, text: "stream_options needs stream"},
		"echo":                     {path: "/v1/completions", body: `{"model":"m","echo":true,"prompt":"p"}`, text: "echo is not supported"},
		"a suffix":                 {path: "/v1/completions", body: `{"model":"m","suffix":"x","prompt":"p"}`, text: "suffix is not supported"},
		"best of two":              {path: "/v1/completions", body: `{"model":"m","best_of":2,"prompt":"p"}`, text: "best_of"},
		"no prompt":                {path: "/v1/completions", body: `{"model":"m"}`, text: "prompt must be one non-empty string"},
		"two prompts":              {path: "/v1/completions", body: `{"model":"m","prompt":["a","b"]}`, text: "prompt must be one non-empty string"},
		"a prompt of token ids":    {path: "/v1/completions", body: `{"model":"m","prompt":[1,2]}`, text: "prompt must be one non-empty string"},
		"a body that is too large": {body: strings.Repeat(" ", maxRequest+1), status: 413, reason: "size", text: "more than 8388608 bytes"},
		"a large service body":     {path: "/v1/services/pickup/book", body: strings.Repeat(" ", maxRequest+1), status: 413, reason: "size", text: "more than"},
		"a deadline in words":      {body: "{}", header: []string{HeaderDeadline, "soon"}, text: "number of milliseconds"},
		"a deadline of zero":       {body: "{}", header: []string{HeaderDeadline, "0"}, text: "number of milliseconds"},
		"a deadline of two days":   {body: "{}", header: []string{HeaderDeadline, "172800000"}, text: "number of milliseconds"},
		"a long idempotency key":   {path: "/v1/services/pickup/book", header: []string{HeaderIdem, strings.Repeat("k", 256)}, reason: "idem", text: "at most 255 bytes"},
		"an unknown path":          {path: "/v2/completions", status: 404, reason: "route", text: "no such path"},
		"a service without call":   {path: "/v1/services/pickup", status: 404, reason: "route", text: "no such path"},
		"GET of a completion":      {method: "GET", status: 405, reason: "route", text: "takes POST, not GET"},
		"DELETE of a service":      {method: "DELETE", path: "/v1/services/pickup/book", status: 405, reason: "route", text: "takes GET, POST"},
		"POST of models":           {method: "POST", path: "/v1/models", status: 405, reason: "route", text: "takes GET"},
		"an unknown model":         {method: "GET", path: "/v1/models/none", status: 404, reason: "model", text: `called "none"`},
		"models without a key":     {method: "GET", path: "/v1/models", header: []string{"Authorization", "Basic x"}, status: 401, reason: "key", text: "API key"},
	}, func(c inputCase) {
		if c.method == "" {
			c.method = http.MethodPost
		}
		if c.path == "" {
			c.path = "/v1/chat/completions"
		}
		if c.status == 0 {
			c.status = http.StatusBadRequest
		}
		if c.reason == "" {
			c.reason = "body"
		}
		a := &answer{}
		w := send(a, c.method, c.path, c.body, c.header...)
		gomega.Expect(w.Body.String()).To(gomega.ContainSubstring(strings.ReplaceAll(c.text, `"`, `\"`)))
		expectRefusal(w, c.status, c.reason, "no", "", errorType(c.status))
		gomega.Expect(a.seen).To(gomega.BeNil())
		gomega.Expect(w.Header().Get("Allow") != "").To(gomega.Equal(c.status == http.StatusMethodNotAllowed))
	})
})
