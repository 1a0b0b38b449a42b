package bergamotfront

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

func TestFront(t *testing.T) { bergamottest.Run(t, "front") }

const testKey = "front-key"

// fixedViews always gives the same view; the bundle is nil when there is no text.
type fixedViews struct{ bundle *bergamotbundle.Bundle }

func (v fixedViews) View() *bergamotcontrol.View {
	return bergamotcontrol.NewView(time.Unix(1000, 0), v.bundle, bergamotfleet.NewFleet(nil))
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1000, 0) }

func testBundle() *bergamotbundle.Bundle {
	return bergamottest.Bundle(bergamottest.MinimalBundle + fmt.Sprintf(`[model care]
layers = 2
[pipeline shop/advice]
model = care
[workspace kitchen]
keys = %s
pipelines = *
`, bergamotbundle.HashKey(testKey)))
}

// answer is a last handler that gives tokens and then an error.
type answer struct {
	tokens []string
	reply  *bergamotrequest.Reply
	err    error
	seen   *bergamotrequest.Request
}

func (a *answer) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	a.seen = x.Request()
	for n, text := range a.tokens {
		if err := x.Sink().Token(ctx, bergamotrequest.NewToken(n, n, text, n == len(a.tokens)-1)); err != nil {
			return err
		}
	}
	if a.reply != nil {
		if err := x.Sink().Reply(ctx, *a.reply); err != nil {
			return err
		}
	}
	return a.err
}

// send passes one request through a front end whose chain ends in a.
func send(a *answer, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for n := 0; n+1 < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	w := httptest.NewRecorder()
	s := &Server{Chain: a, Views: fixedViews{testBundle()}, Clock: fixedClock{}, Entry: "entry1"}
	s.Handler().ServeHTTP(w, r)
	return w
}

// expectRefusal checks the status, the headers and the shape of the body that clients of the API parse.
func expectRefusal(w *httptest.ResponseRecorder, status int, reason, run, retry, kind string) {
	gomega.Expect(w.Code).To(gomega.Equal(status), w.Body.String())
	gomega.Expect(w.Header().Get(HeaderReason)).To(gomega.Equal(reason))
	gomega.Expect(w.Header().Get(HeaderRun)).To(gomega.Equal(run))
	gomega.Expect(w.Header().Get("Retry-After")).To(gomega.Equal(retry))
	gomega.Expect(w.Header().Get("Content-Type")).To(gomega.Equal("application/json"))
	expectErrorBody(w.Body.Bytes(), reason, run, kind)
}

func expectErrorBody(data []byte, reason, run, kind string) {
	var m map[string]map[string]any
	gomega.Expect(json.Unmarshal(data, &m)).To(gomega.Succeed())
	gomega.Expect(m).To(gomega.HaveLen(1))
	gomega.Expect(m["error"]).To(gomega.And(
		gomega.HaveKeyWithValue("code", reason), gomega.HaveKeyWithValue("run", run),
		gomega.HaveKeyWithValue("type", kind), gomega.HaveKeyWithValue("param", gomega.BeNil()),
		gomega.HaveKeyWithValue("message", gomega.Not(gomega.BeEmpty())), gomega.HaveLen(5)))
}
