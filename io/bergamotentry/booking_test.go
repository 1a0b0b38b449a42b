package bergamotentry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotfront"
	"bergamotspur/io/bergamotlist"
)

const bookingKey = "kitchen-key"

// bookingFixture is two entries in front of a fake platform and a fake service, connected over loopback.
type bookingFixture struct {
	*testPlatform
	service *bergamotfake.Service
	entries []*bergamotentry.Entry
}

// newBookingFixture runs the entries and the fakes until the spec ends; ask names the call of the service that returns
// the outcome of an earlier call, empty for none.
func newBookingFixture(ask string) *bookingFixture {
	s := &bookingFixture{testPlatform: newTestPlatform(), service: bergamotfake.NewService()}
	gomega.Expect(s.service.Start("127.0.0.1:0")).To(gomega.Succeed())
	s.putService("live")
	s.rollOut(ask)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	for n := range 2 {
		setting, err := bergamotsetting.Parse("test", []byte(bergamotfake.EntrySettings(fmt.Sprint("entry", n+1), "tallinn",
			s.platform.Address(), "head = 50ms\npoll = 50ms\ndrain = 1s", "mari:"+s.public)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		e := &bergamotentry.Entry{Setting: setting, Log: ginkgo.GinkgoWriter}
		gomega.Expect(e.Init()).To(gomega.Succeed())
		s.entries = append(s.entries, e)
		go func() { done <- e.Run(ctx) }()
	}
	ginkgo.DeferCleanup(func() {
		cancel()
		gomega.Expect(<-done).To(gomega.Succeed())
		gomega.Expect(<-done).To(gomega.Succeed())
	})
	for _, e := range s.entries {
		gomega.Eventually(func() bool {
			return e.View().Bundle() != nil && len(e.View().Fleet().ByRole("pickup")) == 1
		}).WithTimeout(maxWait).Should(gomega.BeTrue())
	}
	return s
}

func (s *bookingFixture) putService(state string) {
	s.platform.Instances.Put(bergamotlist.InstanceMessage{
		Name: "pickup-1", Address: s.service.Address(), Centre: "tallinn", Kind: "cpu", Role: "pickup", State: state,
	})
}

func (s *bookingFixture) rollOut(ask string) {
	ctx := context.Background()
	b, err := s.rollout.Propose(ctx, "test", fmt.Appendf(nil, `[bundle]
version = 1
[service pickup]
once = book
ask = %s
deadline = 20s
[operator mari]
key = %s
[workspace kitchen]
keys = %s
services = *
`, ask, s.public, bergamotbundle.HashKey(bookingKey)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.rollout.Approve(ctx, b.Digest(), "mari", s.key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.rollout.Roll(ctx, b.Digest(), "mari")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// bookingResult is the response that a caller got.
type bookingResult struct {
	status     int
	reason     string
	run        string
	replay     bool
	retryAfter string
	body       string
}

// book sends the call with the idempotency key "k" to an entry, with a deadline in milliseconds.
func (s *bookingFixture) book(ctx context.Context, entry, deadline int) (o bookingResult, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+s.entries[entry].CallerAddress()+"/v1/services/pickup/book", strings.NewReader(`{"slot":1}`))
	if err != nil {
		return o, err
	}
	r.Header.Set("Authorization", "Bearer "+bookingKey)
	r.Header.Set(bergamotfront.HeaderIdempotencyKey, "k")
	r.Header.Set(bergamotfront.HeaderDeadline, fmt.Sprint(deadline))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return o, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return bookingResult{
		status: resp.StatusCode, reason: resp.Header.Get(bergamotfront.HeaderReason), run: resp.Header.Get(bergamotfront.HeaderRun),
		replay: resp.Header.Get(bergamotfront.HeaderReplay) != "", retryAfter: resp.Header.Get("Retry-After"), body: string(body),
	}, err
}

// mustBook is book with a deadline of 20 s; it fails the spec without a response.
func (s *bookingFixture) mustBook(entry int) bookingResult {
	o, err := s.book(context.Background(), entry, 20000)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return o
}

// runs returns how often the service ran the call.
func (s *bookingFixture) runs() int { return len(s.service.Journal()) }
