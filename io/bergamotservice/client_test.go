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

// serve starts a server with the handler h and returns its address and the number of requests that it received.
func serve(h http.HandlerFunc) (address string, requests *atomic.Int64) {
	requests = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		h(w, r)
	}))
	ginkgo.DeferCleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), requests
}

type statusCase struct {
	status   int
	isAnswer bool
}

var _ = ginkgo.Describe("Client", func() {
	// Guards against net/http retrying a request after a reused connection broke, which it does for requests with GetBody
	// or an Idempotency-Key header.
	bergamottest.Cases(map[string]struct{ body string }{
		"sends a call with a body once when a reused connection breaks":    {"slot"},
		"sends a call without a body once when a reused connection breaks": {""},
	}, func(c struct{ body string }) {
		address, requests := serve(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/warm" {
				return
			}
			panic(http.ErrAbortHandler) // breaks the connection before a reply
		})
		client := bergamotservice.NewClient()
		defer client.Close()
		_, err := client.Ask(context.Background(), address, "warm", "kitchen/k") // leaves a connection to reuse
		gomega.Expect(err).To(gomega.HaveOccurred())
		_, err = client.Call(context.Background(), address, "kitchen/k", newCall(c.body))
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(errors.Is(err, bergamotfilter.ErrNotSent)).To(gomega.BeFalse())
		gomega.Expect(requests.Load()).To(gomega.Equal(int64(2)))
	})

	// Guards against a redirect that sends the call to a second server, and against returning the redirect as the answer.
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

	// Guards against keeping a claim, or reporting the run state "unknown", although no byte left the entry.
	ginkgo.It("reports that nothing was sent when there was no connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		closed := l.Addr().String()
		gomega.Expect(l.Close()).To(gomega.Succeed())
		client := bergamotservice.NewClient()
		defer client.Close()
		_, err = client.Call(context.Background(), closed, "kitchen/k", newCall("slot"))
		gomega.Expect(err).To(gomega.MatchError(bergamotfilter.ErrNotSent))

		address, requests := serve(func(http.ResponseWriter, *http.Request) {})
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_, err = client.Call(ended, address, "kitchen/k", newCall("slot"))
		gomega.Expect(err).To(gomega.MatchError(bergamotfilter.ErrNotSent))
		gomega.Expect(requests.Load()).To(gomega.BeZero())
	})

	// Guards against treating an answer of the service, such as "slot taken", as a failure.
	bergamottest.Cases(map[string]statusCase{
		"returns a success as the answer":                       {http.StatusOK, true},
		"returns a rejection by the service as the answer":      {http.StatusConflict, true},
		"treats a failure of the service as an unknown outcome": {http.StatusServiceUnavailable, false},
	}, func(c statusCase) {
		address, _ := serve(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(c.status)
			_, _ = w.Write([]byte(r.Header.Get("Bergamot-Call")))
		})
		client := bergamotservice.NewClient()
		defer client.Close()
		reply, err := client.Call(context.Background(), address, "kitchen/k", newCall("slot"))
		if !c.isAnswer {
			gomega.Expect(err).To(gomega.HaveOccurred())
			gomega.Expect(errors.Is(err, bergamotfilter.ErrNotSent)).To(gomega.BeFalse())
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(reply.Status()).To(gomega.Equal(c.status))
		gomega.Expect(string(reply.Body())).To(gomega.Equal("kitchen/k"))
	})
})
