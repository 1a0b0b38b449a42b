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

const pickupKey = "kitchen-key"

// pickup is two entries in front of the fakes of a platform and of one plain service, over loopback.
type pickup struct {
	*shop
	service *bergamotfake.Service
	entries []*bergamotentry.Entry
}

// newPickup runs it until the spec ends; ask is the call that tells outcomes, empty for none.
func newPickup(ask string) *pickup {
	s := &pickup{shop: newShop(), service: bergamotfake.NewService()}
	gomega.Expect(s.service.Start("127.0.0.1:0")).To(gomega.Succeed())
	s.list("live")
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
		}).WithTimeout(patience).Should(gomega.BeTrue())
	}
	return s
}

func (s *pickup) list(state string) {
	s.platform.Instances.Put(bergamotlist.InstanceMessage{
		Name: "pickup-1", Address: s.service.Address(), Centre: "tallinn", Kind: "cpu", Role: "pickup", State: state,
	})
}

func (s *pickup) rollOut(ask string) {
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
`, ask, s.public, bergamotbundle.HashKey(pickupKey)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.rollout.Approve(ctx, b.Digest(), "mari", s.key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.rollout.Roll(ctx, b.Digest(), "mari")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// outcome is what a caller got.
type outcome struct {
	status int
	reason string
	run    string
	replay bool
	after  string
	body   string
}

// book sends the call "k" to an entry with a deadline in milliseconds.
func (s *pickup) book(ctx context.Context, entry, deadline int) (o outcome, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+s.entries[entry].Callers()+"/v1/services/pickup/book", strings.NewReader(`{"slot":1}`))
	if err != nil {
		return o, err
	}
	r.Header.Set("Authorization", "Bearer "+pickupKey)
	r.Header.Set(bergamotfront.HeaderIdempotencyKey, "k")
	r.Header.Set(bergamotfront.HeaderDeadline, fmt.Sprint(deadline))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return o, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return outcome{
		status: resp.StatusCode, reason: resp.Header.Get(bergamotfront.HeaderReason), run: resp.Header.Get(bergamotfront.HeaderRun),
		replay: resp.Header.Get(bergamotfront.HeaderReplay) != "", after: resp.Header.Get("Retry-After"), body: string(body),
	}, err
}

// mustBook sends the call "k" to an entry with plenty of time.
func (s *pickup) mustBook(entry int) outcome {
	o, err := s.book(context.Background(), entry, 20000)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return o
}

// runs returns how often the service ran the call.
func (s *pickup) runs() int { return len(s.service.Journal()) }
