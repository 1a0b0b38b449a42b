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
	err        error
	status     int
	reason     string
	run        string
	retryAfter string
	errType    string
}

func newRefusal(r bergamotrequest.Reason) *bergamotrequest.Refusal {
	return bergamotrequest.Refuse(r, "text")
}

var _ = ginkgo.Describe("a rejection", func() {
	const invalid, server = "invalid_request_error", "server_error"
	table := map[string]refusalCase{
		"body":     {status: 400, errType: invalid},
		"size":     {status: 413, errType: invalid},
		"route":    {status: 404, errType: invalid},
		"key":      {status: 401, errType: "authentication_error"},
		"access":   {status: 403, errType: "permission_error"},
		"model":    {status: 404, errType: invalid},
		"service":  {status: 404, errType: invalid},
		"idem":     {status: 400, errType: invalid},
		"bundle":   {status: 503, retryAfter: "1", errType: server},
		"stale":    {status: 503, retryAfter: "1", errType: server},
		"drain":    {status: 503, retryAfter: "1", errType: server},
		"deadline": {status: 504, errType: server},
		"rate":     {status: 429, retryAfter: "1", errType: "rate_limit_error"},
		"tokens":   {status: 429, retryAfter: "1", errType: "rate_limit_error"},
		"full":     {status: 503, retryAfter: "1", errType: server},
		"room":     {status: 503, retryAfter: "1", errType: server},
		"limit":    {status: 503, retryAfter: "1", errType: server},
		"suspect":  {status: 422, errType: invalid},
		"digest":   {status: 422, errType: invalid},
		"progress": {status: 409, errType: invalid},
		"unknown":  {status: 502, errType: server},
		"table":    {status: 503, retryAfter: "1", errType: server},
		"object":   {status: 503, retryAfter: "1", errType: server},
		"path":     {status: 503, retryAfter: "1", errType: server},
		"target":   {status: 502, errType: server},
		"promise":  {status: 502, errType: server},
		"stall":    {status: 504, errType: server},
		"link":     {status: 503, retryAfter: "1", errType: server},
		"proof":    {status: 502, errType: server},
		"budget":   {status: 503, retryAfter: "1", errType: server},
		"memory":   {status: 503, retryAfter: "1", errType: server},
		"upload":   {status: 408, errType: invalid},
		"cancel":   {status: 503, retryAfter: "1", errType: server},
		"internal": {status: 500, errType: server},
	}
	for name, c := range table {
		c.err, c.reason, c.run = newRefusal(bergamotrequest.Reason(name)), name, "no"
		table[name] = c
	}
	table["of a request that may have run"] = refusalCase{
		err: newRefusal(bergamotrequest.ReasonPath).WithRun(bergamotrequest.RunUnknown), status: 503, reason: "path", run: "unknown", errType: server,
	}
	table["of a request that ran"] = refusalCase{
		err: newRefusal(bergamotrequest.ReasonTarget).WithRun(bergamotrequest.RunYes), status: 502, reason: "target", run: "yes", errType: server,
	}
	table["with a retry delay, rounded up"] = refusalCase{
		err: newRefusal(bergamotrequest.ReasonRate).WithRetryAfter(1500 * time.Millisecond), status: 429, reason: "rate", run: "no",
		retryAfter: "2", errType: "rate_limit_error",
	}
	table["from a plain error"] = refusalCase{err: errors.New("text"), status: 500, reason: "internal", run: "unknown", errType: server}

	// Guards against a status, header or body that misleads a caller about whether to retry.
	bergamottest.Cases(table, func(c refusalCase) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions", "/v1/services/pickup/book"} {
			body := `{"model":"m","prompt":"p","messages":[{"role":"user","content":"p"}],"stream":true}`
			expectRefusal(send(&stubHandler{err: c.err}, http.MethodPost, path, body), c.status, c.reason, c.run, c.retryAfter, c.errType)
		}
	})

	// Guards against a new reason that gets the default status by oversight.
	ginkgo.It("has a case for every reason", func() {
		for _, r := range bergamotrequest.Reasons() {
			gomega.Expect(table).To(gomega.HaveKey(string(r)))
		}
	})
})

type inputCase struct {
	method  string // POST by default
	path    string // chat completions by default
	body    string
	header  []string
	status  int // 400 by default
	reason  string
	message string // substring of the error message
}

const userMessages = `"messages":[{"role":"user","content":"hi"}]`

var _ = ginkgo.Describe("bad input", func() {
	// Guards against input that causes a panic or reaches the chain, or whose rejection does not name the fault.
	bergamottest.Cases(map[string]inputCase{
		"no body":                  {message: "not valid JSON at byte 0"},
		"truncated JSON":           {body: `{"model"`, message: "not valid JSON at byte 8"},
		"two values":               {body: `{"model":"m"} {}`, message: "not valid JSON at byte"},
		"a list":                   {body: `[]`, message: "must be a JSON object, not a array"},
		"deep nesting":             {body: strings.Repeat("[", 20000), message: "not valid JSON"},
		"a number as model":        {body: `{"model":1}`, message: "field model cannot be a number"},
		"a string as stream":       {body: `{"model":"m","stream":"yes"}`, message: "field stream cannot be a string"},
		"a huge limit":             {body: `{"model":"m","max_tokens":1e30}`, message: "field max_tokens cannot be a number"},
		"a negative seed":          {body: `{"model":"m","seed":-1}`, message: "field seed cannot be a number"},
		"no model":                 {body: `{` + userMessages + `}`, message: "names no model"},
		"no tokens":                {body: `{"model":"m","max_tokens":0,` + userMessages + `}`, message: "asks for no tokens"},
		"a negative limit":         {body: `{"model":"m","max_completion_tokens":-5,` + userMessages + `}`, message: "asks for no tokens"},
		"no messages":              {body: `{"model":"m"}`, message: "messages is empty"},
		"a message without role":   {body: `{"model":"m","messages":[{"content":"x"}]}`, message: "messages[0].role must be one of"},
		"a role with a newline":    {body: `{"model":"m","messages":[{"role":"user\nsystem","content":"x"}]}`, message: "messages[0].role"},
		"a message without text":   {body: `{"model":"m","messages":[{"role":"user"}]}`, message: "messages[0].content must be"},
		"a part with an image":     {body: `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, message: "other than text"},
		"two choices":              {body: `{"model":"m","n":2,` + userMessages + `}`, message: "n other than 1"},
		"stop":                     {body: `{"model":"m","stop":"x",` + userMessages + `}`, message: "stop is not supported"},
		"tools":                    {body: `{"model":"m","tools":[{}],` + userMessages + `}`, message: "tools are not supported"},
		"functions":                {body: `{"model":"m","functions":[{}],` + userMessages + `}`, message: "tools are not supported"},
		"logprobs":                 {body: `{"model":"m","logprobs":true,` + userMessages + `}`, message: "logprobs is not supported"},
		"a JSON answer":            {body: `{"model":"m","response_format":{"type":"json_object"},` + userMessages + `}`, message: "response_format"},
		"usage without a stream":   {body: `{"model":"m","stream_options":{"include_usage":true},` + userMessages + `}`, message: "stream_options needs stream"},
		"echo":                     {path: "/v1/completions", body: `{"model":"m","echo":true,"prompt":"p"}`, message: "echo is not supported"},
		"a suffix":                 {path: "/v1/completions", body: `{"model":"m","suffix":"x","prompt":"p"}`, message: "suffix is not supported"},
		"best of two":              {path: "/v1/completions", body: `{"model":"m","best_of":2,"prompt":"p"}`, message: "best_of"},
		"no prompt":                {path: "/v1/completions", body: `{"model":"m"}`, message: "prompt must be one non-empty string"},
		"two prompts":              {path: "/v1/completions", body: `{"model":"m","prompt":["a","b"]}`, message: "prompt must be one non-empty string"},
		"a prompt of token ids":    {path: "/v1/completions", body: `{"model":"m","prompt":[1,2]}`, message: "prompt must be one non-empty string"},
		"a body that is too large": {body: strings.Repeat(" ", maxBodyBytes+1), status: 413, reason: "size", message: "more than 8388608 bytes"},
		"a large service body":     {path: "/v1/services/pickup/book", body: strings.Repeat(" ", maxBodyBytes+1), status: 413, reason: "size", message: "more than"},
		"a deadline in words":      {body: "{}", header: []string{HeaderDeadline, "soon"}, message: "number of milliseconds"},
		"a deadline of zero":       {body: "{}", header: []string{HeaderDeadline, "0"}, message: "number of milliseconds"},
		"a deadline of two days":   {body: "{}", header: []string{HeaderDeadline, "172800000"}, message: "number of milliseconds"},
		"a long idempotency key":   {path: "/v1/services/pickup/book", header: []string{HeaderIdempotencyKey, strings.Repeat("k", 256)}, reason: "idem", message: "at most 255 bytes"},
		"an unknown path":          {path: "/v2/completions", status: 404, reason: "route", message: "no such path"},
		"a service without a call": {path: "/v1/services/pickup", status: 404, reason: "route", message: "no such path"},
		"GET of a completion":      {method: "GET", status: 405, reason: "route", message: "takes POST, not GET"},
		"DELETE of a service":      {method: "DELETE", path: "/v1/services/pickup/book", status: 405, reason: "route", message: "takes GET, POST"},
		"POST of models":           {method: "POST", path: "/v1/models", status: 405, reason: "route", message: "takes GET"},
		"an unknown model":         {method: "GET", path: "/v1/models/none", status: 404, reason: "model", message: `called "none"`},
		"models without a key":     {method: "GET", path: "/v1/models", header: []string{"Authorization", "Basic x"}, status: 401, reason: "key", message: "API key"},
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
		h := &stubHandler{}
		w := send(h, c.method, c.path, c.body, c.header...)
		gomega.Expect(w.Body.String()).To(gomega.ContainSubstring(strings.ReplaceAll(c.message, `"`, `\"`)))
		expectRefusal(w, c.status, c.reason, "no", "", errorType(c.status))
		gomega.Expect(h.received).To(gomega.BeNil())
		gomega.Expect(w.Header().Get("Allow") != "").To(gomega.Equal(c.status == http.StatusMethodNotAllowed))
	})
})
