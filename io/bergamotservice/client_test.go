package bergamotservice_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotservice"
)

func TestService(t *testing.T) { bergamottest.Run(t, "service") }

func newCall(body string) *bergamotrequest.Request {
	return bergamottest.Request(bergamotrequest.Spec{
		ID: "r", Kind: bergamotrequest.KindService, Service: "pickup", Call: "book", IdempotencyKey: "k", Body: []byte(body),
	})
}

// serve runs h and returns its address and how many requests reached it.
func serve(h http.HandlerFunc) (address string, count *atomic.Int64) {
	count = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		h(w, r)
	}))
	ginkgo.DeferCleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), count
}

type codeCase struct {
	code   int
	answer bool
}

var _ = ginkgo.Describe("Client", func() {
	// Guards against net/http sending a request again by itself after a kept-alive connection broke, which it does for
	// requests with GetBody or an Idempotency-Key header.
	bergamottest.Cases(map[string]struct{ body string }{
		"sends a call with a body once over a connection that breaks": {"slot"},
		"sends a call without a body once as well":                    {""},
	}, func(c struct{ body string }) {
		address, count := serve(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/warm" {
				return
			}
			panic(http.ErrAbortHandler) // the connection breaks before a reply
		})
		client := bergamotservice.NewClient()
		defer client.Close()
		_, err := client.Ask(context.Background(), address, "warm", "kitchen/k") // leaves a connection to reuse
		gomega.Expect(err).To(gomega.HaveOccurred())
		_, err = client.Call(context.Background(), address, "kitchen/k", newCall(c.body))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(errors.Is(err, bergamotfilter.ErrNotSent)).To(gomega.BeFalse())
		gomega.Expect(count.Load()).To(gomega.Equal(int64(2)))
	})

	// Guards against a redirect that sends the call to a second server, and against one that passes for an answer.
	bergamottest.Cases(map[string]struct{ body string }{
		"does not follow a redirect with a body":    {"slot"},
		"does not follow a redirect without a body": {""},
	}, func(c struct{ body string }) {
		other, reached := serve(func(http.ResponseWriter, *http.Request) {})
		address, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+other+"/book", http.StatusTemporaryRedirect)
		})
		client := bergamotservice.NewClient()
		defer client.Close()
		_, err := client.Call(context.Background(), address, "kitchen/k", newCall(c.body))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(errors.Is(err, bergamotfilter.ErrNotSent)).To(gomega.BeFalse())
		gomega.Expect(reached.Load()).To(gomega.BeZero())
	})

	// Guards against a claim that is kept, or a run state "unknown", although no byte left the entry.
	ginkgo.It("reports that nothing was sent when there was no connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		closed := l.Addr().String()
		gomega.Expect(l.Close()).To(gomega.Succeed())
		client := bergamotservice.NewClient()
		defer client.Close()
		_, err = client.Call(context.Background(), closed, "kitchen/k", newCall("slot"))
		gomega.Expect(err).To(gomega.MatchError(bergamotfilter.ErrNotSent))

		address, count := serve(func(http.ResponseWriter, *http.Request) {})
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = client.Call(ended, address, "kitchen/k", newCall("slot"))
		gomega.Expect(err).To(gomega.MatchError(bergamotfilter.ErrNotSent))
		gomega.Expect(count.Load()).To(gomega.BeZero())
	})

	// Guards against an answer of the service, such as "slot taken", that is treated as a failure.
	bergamottest.Cases(map[string]codeCase{
		"takes a success for the answer":                        {http.StatusOK, true},
		"takes a rejection by the service for the answer":       {http.StatusConflict, true},
		"takes a failure of the service for an unknown outcome": {http.StatusServiceUnavailable, false},
	}, func(c codeCase) {
		address, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(c.code)
			_, _ = w.Write([]byte(r.Header.Get("Bergamot-Call")))
		})
		client := bergamotservice.NewClient()
		defer client.Close()
		reply, err := client.Call(context.Background(), address, "kitchen/k", newCall("slot"))
		if !c.answer {
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Expect(errors.Is(err, bergamotfilter.ErrNotSent)).To(gomega.BeFalse())
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reply.Status()).To(gomega.Equal(c.code))
		gomega.Expect(string(reply.Body())).To(gomega.Equal("kitchen/k"))
	})
})
