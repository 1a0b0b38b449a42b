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

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

func TestFront(t *testing.T) { bergamottest.Run(t, "front") }

const testKey = "front-key"

// fixedViews always returns a view of the same bundle.
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

// stubHandler is a chain that sends fixed tokens and a fixed reply and returns err.
type stubHandler struct {
	tokens   []string
	reply    *bergamotrequest.Reply
	err      error
	received *bergamotrequest.Request
}

func (h *stubHandler) Handle(ctx context.Context, x *bergamotchain.Exchange) error {
	h.received = x.Request()
	for n, text := range h.tokens {
		if err := x.Sink().Token(ctx, bergamotrequest.NewToken(n, n, text, n == len(h.tokens)-1)); err != nil {
			return err
		}
	}
	if h.reply != nil {
		if err := x.Sink().Reply(ctx, *h.reply); err != nil {
			return err
		}
	}
	return h.err
}

// send returns the response of a front end with the chain h; header lists names and values in turn.
func send(h *stubHandler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for n := 0; n+1 < len(header); n += 2 {
		r.Header.Set(header[n], header[n+1])
	}
	w := httptest.NewRecorder()
	s := &Server{Chain: h, Views: fixedViews{testBundle()}, Clock: fixedClock{}, Entry: "entry1", Account: &bergamotaccount.Account{Max: 64 << 20, Clock: bergamotclock.Real{}}}
	s.Handler().ServeHTTP(w, r)
	return w
}

// expectRefusal checks the status, the headers and the fields of the body that clients of the API parse.
func expectRefusal(w *httptest.ResponseRecorder, status int, reason, run, retryAfter, errType string) {
	gomega.Expect(w.Code).To(gomega.Equal(status), w.Body.String())
	gomega.Expect(w.Header().Get(HeaderReason)).To(gomega.Equal(reason))
	gomega.Expect(w.Header().Get(HeaderRun)).To(gomega.Equal(run))
	gomega.Expect(w.Header().Get("Retry-After")).To(gomega.Equal(retryAfter))
	gomega.Expect(w.Header().Get("Content-Type")).To(gomega.Equal("application/json"))
	expectErrorBody(w.Body.Bytes(), reason, run, errType)
}

func expectErrorBody(data []byte, reason, run, errType string) {
	var m map[string]map[string]any
	gomega.Expect(json.Unmarshal(data, &m)).To(gomega.Succeed())
	gomega.Expect(m).To(gomega.HaveLen(1))
	gomega.Expect(m["error"]).To(gomega.And(
		gomega.HaveKeyWithValue("code", reason), gomega.HaveKeyWithValue("run", run),
		gomega.HaveKeyWithValue("type", errType), gomega.HaveKeyWithValue("param", gomega.BeNil()),
		gomega.HaveKeyWithValue("message", gomega.Not(gomega.BeEmpty())), gomega.HaveLen(5)))
}
