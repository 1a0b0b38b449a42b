package bergamotentry_test

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// maxWait ends a spec that would otherwise hang; no result depends on the speed of the machine.
const maxWait = 30 * time.Second

var _ = ginkgo.Describe("a call that may not be repeated", func() {
	// Each case injects a fault on a real connection. The service must run the call the expected number of times, and
	// callers must learn correctly whether it ran.
	bergamottest.Cases(map[string]struct{ run func(s *bookingFixture) }{
		"runs once when it arrives at two entries at the same moment": {func(s *bookingFixture) {
			var wg sync.WaitGroup
			got := make([]bookingResult, 16)
			for n := range got {
				wg.Go(func() {
					defer ginkgo.GinkgoRecover()
					got[n] = s.mustBook(n % 2)
				})
			}
			wg.Wait()
			first := 0
			for _, o := range got {
				switch {
				case o.status == 200 && !o.replay:
					first++
				case o.status != 200:
					gomega.Expect(o.reason).To(gomega.Equal("progress"))
					gomega.Expect(o.retryAfter).NotTo(gomega.BeEmpty())
				}
			}
			gomega.Expect(first).To(gomega.Equal(1))
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"runs once when the reply to the claim is lost": {func(s *bookingFixture) {
			s.platform.Table.Faults.LoseReplies("/table/swap", 1)
			gomega.Expect(s.mustBook(0).replay).To(gomega.BeFalse())
			gomega.Expect(s.mustBook(1).replay).To(gomega.BeTrue())
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"writes twice to the table": {func(s *bookingFixture) {
			before := s.platform.Table.Faults.Calls("/table/swap")
			s.mustBook(0)
			gomega.Expect(s.platform.Table.Faults.Calls("/table/swap") - before).To(gomega.Equal(2))
		}},
		"is not run while the table is down, and runs afterwards": {func(s *bookingFixture) {
			s.platform.Table.Faults.SetDown(true)
			o := s.mustBook(0)
			gomega.Expect([]string{o.reason, o.run}).To(gomega.Equal([]string{"table", "no"}))
			gomega.Expect(s.runs()).To(gomega.BeZero())
			s.platform.Table.Faults.SetDown(false)
			gomega.Expect(s.mustBook(0).status).To(gomega.Equal(200))
			gomega.Expect(s.mustBook(1).replay).To(gomega.BeTrue())
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"is not run when its deadline passes while the table is silent": {func(s *bookingFixture) {
			s.platform.Table.Faults.SetSilent(true)
			o, err := s.book(context.Background(), 0, 50)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(o.run).To(gomega.Equal("no"))
			s.platform.Table.Faults.SetSilent(false)
			gomega.Expect(s.mustBook(0).status).To(gomega.Equal(200))
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"can be retried after the service could not be reached": {func(s *bookingFixture) {
			s.service.Kill()
			o := s.mustBook(0)
			gomega.Expect([]string{o.reason, o.run}).To(gomega.Equal([]string{"target", "no"}))
			s.service = bergamotfake.NewService()
			gomega.Expect(s.service.Start("127.0.0.1:0")).To(gomega.Succeed())
			s.putService("live")
			gomega.Eventually(func() int { return s.mustBook(1).status }).WithTimeout(maxWait).Should(gomega.Equal(200))
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"is not run again after the service died during the call": {func(s *bookingFixture) {
			s.service.Faults.LoseReplies("/book", 1)
			gomega.Expect(s.mustBook(0).run).To(gomega.Equal("unknown"))
			o := s.mustBook(1)
			gomega.Expect([]string{o.reason, o.run}).To(gomega.Equal([]string{"unknown", "unknown"}))
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"is replayed although the service died after the call": {func(s *bookingFixture) {
			s.mustBook(0)
			s.service.Kill()
			gomega.Expect(s.mustBook(1).replay).To(gomega.BeTrue())
		}},
		"is recorded when its caller hangs up": {func(s *bookingFixture) {
			s.service.Faults.SetSilent(true)
			ctx, hangUp := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() {
				_, err := s.book(ctx, 0, 20000)
				done <- err
			}()
			gomega.Eventually(func() int { return s.service.Faults.Calls("/book") }).WithTimeout(maxWait).Should(gomega.Equal(1))
			hangUp()
			gomega.Expect(<-done).To(gomega.MatchError(context.Canceled))
			s.service.Faults.SetSilent(false)
			gomega.Eventually(func() bool { return s.mustBook(1).replay }).WithTimeout(maxWait).Should(gomega.BeTrue())
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"is answered while table and service fail together after the run, and stored afterwards": {func(s *bookingFixture) {
			s.service.Faults.SetSilent(true)
			done := make(chan bookingResult, 1)
			go func() {
				defer ginkgo.GinkgoRecover()
				done <- s.mustBook(0)
			}()
			gomega.Eventually(func() int { return s.service.Faults.Calls("/book") }).WithTimeout(maxWait).Should(gomega.Equal(1))
			s.platform.Table.Faults.SetDown(true)
			s.service.Faults.SetSilent(false)
			first := <-done
			s.service.Kill()
			gomega.Expect(first.status).To(gomega.Equal(200))
			s.platform.Table.Faults.SetDown(false)
			gomega.Eventually(func() bool { return s.mustBook(1).replay }).WithTimeout(maxWait).Should(gomega.BeTrue())
			gomega.Expect(s.mustBook(1).body).To(gomega.Equal(first.body))
			gomega.Expect(s.runs()).To(gomega.Equal(1))
		}},
		"is answered although the table is silent after the run, and stored afterwards": {func(s *bookingFixture) {
			s.service.Faults.SetSilent(true)
			done := make(chan bookingResult, 1)
			go func() {
				defer ginkgo.GinkgoRecover()
				o, err := s.book(context.Background(), 0, 3000)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				done <- o
			}()
			gomega.Eventually(func() int { return s.service.Faults.Calls("/book") }).WithTimeout(maxWait).Should(gomega.Equal(1))
			s.platform.Table.Faults.SetSilent(true)
			s.service.Faults.SetSilent(false)
			gomega.Eventually(s.runs).WithTimeout(maxWait).Should(gomega.Equal(1))
			first := <-done
			s.platform.Table.Faults.SetSilent(false)
			gomega.Eventually(func() bool { return s.mustBook(1).replay }).WithTimeout(maxWait).Should(gomega.BeTrue())
			gomega.Expect(s.mustBook(1).body).To(gomega.Equal(first.body))
		}},
	}, func(c struct{ run func(s *bookingFixture) }) { c.run(newBookingFixture("")) })

	// Guards against an outcome that stays unknown although the service can be asked for it.
	ginkgo.It("is reported as run when the service confirms it", func() {
		s := newBookingFixture("outcome")
		s.service.Faults.LoseReplies("/book", 1)
		gomega.Expect(s.mustBook(0).run).To(gomega.Equal("unknown"))
		o := s.mustBook(1)
		gomega.Expect([]string{o.reason, o.run}).To(gomega.Equal([]string{"unknown", "yes"}))
		gomega.Expect(strings.Contains(o.body, "answer was lost")).To(gomega.BeTrue())
		gomega.Expect(s.runs()).To(gomega.Equal(1))
	})
})
