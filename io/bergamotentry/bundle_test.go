package bergamotentry_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotobject"
	"bergamotspur/io/bergamottable"
)

// testPlatform is a fake platform and the key of its one operator.
type testPlatform struct {
	platform *bergamotfake.Platform
	rollout  *bergamotrollout.Rollout
	key      ed25519.PrivateKey
	public   string
}

func newTestPlatform() *testPlatform {
	s := &testPlatform{platform: bergamotfake.NewPlatform(), key: ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
	gomega.Expect(s.platform.Start("127.0.0.1:0")).To(gomega.Succeed())
	public := s.key.Public().(ed25519.PublicKey)
	s.public = base64.StdEncoding.EncodeToString(public)
	table, objects := bergamottable.NewClient(s.platform.Address()), bergamotobject.NewClient(s.platform.Address())
	s.rollout = &bergamotrollout.Rollout{
		Table: table, Objects: objects, Clock: bergamotclock.Real{},
		Trust: bergamotbundle.NewAuthority(1, bergamotbundle.NewOperator("mari", public)),
	}
	ginkgo.DeferCleanup(func() {
		table.Close()
		objects.Close()
		s.platform.Kill()
	})
	return s
}

func (s *testPlatform) roll(ctx context.Context, version int64) { s.rollWith(ctx, version, "") }

// rollWith puts a bundle with the additional sections in extra in force.
func (s *testPlatform) rollWith(ctx context.Context, version int64, extra string) {
	h, _, err := s.rollout.Head(ctx)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	b, err := s.rollout.Propose(ctx, "test", fmt.Appendf(nil,
		"[bundle]\nversion = %d\nparent = %s\n[operator mari]\nkey = %s\n%s", version, h.Digest(), s.public, extra))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.rollout.Approve(ctx, b.Digest(), "mari", s.key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = s.rollout.Roll(ctx, b.Digest(), "mari")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// startEntry runs an entry until the spec ends.
func (s *testPlatform) startEntry() *bergamotentry.Entry { return s.startEntryAt(s.platform.Address()) }

// newRegion returns another address of the same platform, with separate faults, as another region sees it in a partition.
func (s *testPlatform) newRegion() (address string, faults *bergamotfake.Faults) {
	faults = &bergamotfake.Faults{}
	mux := http.NewServeMux()
	mux.Handle("/table/", s.platform.Table.Handler())
	mux.Handle("/objects/", s.platform.Objects.Handler())
	mux.Handle("/instances", s.platform.Instances.Handler())
	server, err := bergamotfake.Listen("127.0.0.1:0", faults.Wrap(mux))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(server.Kill)
	return server.Address(), faults
}

func (s *testPlatform) startEntryAt(platform string) *bergamotentry.Entry {
	e := s.newEntry("entry1", platform, "")
	runInBackground(e)
	return e
}

// newEntry returns an entry that listens but does not run yet; extra holds additional settings.
func (s *testPlatform) newEntry(name, platform, extra string) *bergamotentry.Entry {
	text := bergamotfake.EntrySettings(name, "tallinn", platform, "head = 20ms\npoll = 50ms\nprobe = 100ms\ndrain = 1s", "mari:"+s.public)
	setting, err := bergamotsetting.Parse("test", []byte(text+extra))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	e := &bergamotentry.Entry{Setting: setting, Log: ginkgo.GinkgoWriter}
	e.SetPlacementTimes(2*time.Second, 500*time.Millisecond, 200*time.Millisecond, 50*time.Millisecond)
	gomega.Expect(e.Init()).To(gomega.Succeed())
	return e
}

// runInBackground runs an entry until the spec ends or stop is called.
func runInBackground(e *bergamotentry.Entry) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		gomega.Expect(<-done).To(gomega.Succeed())
	})
	ginkgo.DeferCleanup(stop)
	return stop
}

func bundleVersion(e *bergamotentry.Entry) int64 {
	if b := e.View().Bundle(); b != nil {
		return b.Version()
	}
	return 0
}

func readyStatus(e *bergamotentry.Entry) int {
	resp, err := http.Get("http://" + e.OperatorAddress() + "/readyz")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// eventually waits up to 30 s, so that a busy machine does not fail the test.
func eventually(f any, a ...any) gomega.AsyncAssertion {
	return gomega.Eventually(f).WithArguments(a...).WithTimeout(30 * time.Second)
}

// awaitFailedReads returns after the entry has failed to read the head n more times.
func awaitFailedReads(e *bergamotentry.Entry, n int64) {
	const name = "control.heads.errors"
	from := e.Metrics().Value(name)
	eventually(e.Metrics().Value, name).Should(gomega.BeNumerically(">=", from+n))
}

var _ = ginkgo.Describe("an entry", func() {
	// Guards against an entry that serves callers before it knows that its bundle is current, and against one that a
	// later outage of the table takes out of service.
	ginkgo.It("is ready only after the table confirmed its bundle, and stays ready without the table", func(ctx context.Context) {
		s := newTestPlatform()
		s.roll(ctx, 1)
		s.platform.Table.Faults.SetDown(true)
		e := s.startEntry()
		awaitFailedReads(e, 3)
		gomega.Expect(readyStatus(e)).To(gomega.Equal(http.StatusServiceUnavailable))
		s.platform.Objects.Faults.SetDown(true)
		s.platform.Table.Faults.SetDown(false)
		awaitFailedReads(e, 3)
		gomega.Expect(readyStatus(e)).To(gomega.Equal(http.StatusServiceUnavailable))
		s.platform.Objects.Faults.SetDown(false)
		eventually(readyStatus, e).Should(gomega.Equal(http.StatusOK))
		s.platform.Table.Faults.SetDown(true)
		awaitFailedReads(e, 3)
		gomega.Expect(readyStatus(e)).To(gomega.Equal(http.StatusOK))
		gomega.Expect(bundleVersion(e)).To(gomega.Equal(int64(1)))
	})

	// Guards against two winning rollouts, or none, when operators race and replies are lost.
	ginkgo.It("uses the version of the operator who won a race of rollouts", func(ctx context.Context) {
		s := newTestPlatform()
		s.roll(ctx, 1)
		e := s.startEntry()
		h, _, err := s.rollout.Head(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		var digests []string
		for n := range 8 {
			b, err := s.rollout.Propose(ctx, "test", fmt.Appendf(nil,
				"[bundle]\nversion = 2\nparent = %s\n[operator mari]\nkey = %s\n[model m]\nlayers = %d\n", h.Digest(), s.public, n+1))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = s.rollout.Approve(ctx, b.Digest(), "mari", s.key)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			digests = append(digests, b.Digest())
		}
		s.platform.Table.Faults.LoseReplies("/table/swap", 4)
		results := make(chan error, len(digests))
		for _, digest := range digests {
			go func() {
				_, err := s.rollout.Roll(ctx, digest, "mari")
				results <- err
			}()
		}
		won := 0
		for range digests {
			err := <-results
			var conflict *bergamotrollout.Conflict
			if err == nil {
				won++
				continue
			}
			gomega.Expect(errors.As(err, &conflict)).To(gomega.BeTrue(), "%s", err)
		}
		gomega.Expect(won).To(gomega.Equal(1))
		eventually(bundleVersion, e).Should(gomega.Equal(int64(2)))
		h, _, err = s.rollout.Head(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(e.View().Bundle().Digest()).To(gomega.Equal(h.Digest()))
	})

	// Guards against three faults of a region that is cut off: it stops serving, a new entry in it serves with an old
	// bundle, or it keeps the old bundle after the partition.
	ginkgo.It("keeps serving its version while its region is cut off and catches up afterwards", func(ctx context.Context) {
		s := newTestPlatform()
		s.roll(ctx, 1)
		address, faults := s.newRegion()
		near, far := s.startEntry(), s.startEntryAt(address)
		eventually(bundleVersion, far).Should(gomega.Equal(int64(1)))
		faults.SetDown(true)
		s.roll(ctx, 2)
		s.roll(ctx, 3)
		eventually(bundleVersion, near).Should(gomega.Equal(int64(3)))
		fresh := s.startEntryAt(address)
		awaitFailedReads(far, 3)
		awaitFailedReads(fresh, 3)
		gomega.Expect([]int64{bundleVersion(far), bundleVersion(fresh)}).To(gomega.Equal([]int64{1, 0}))
		gomega.Expect([]int{readyStatus(far), readyStatus(fresh)}).To(gomega.Equal([]int{http.StatusOK, http.StatusServiceUnavailable}))
		faults.SetDown(false)
		for _, e := range []*bergamotentry.Entry{far, fresh} {
			eventually(bundleVersion, e).Should(gomega.Equal(int64(3)))
			eventually(readyStatus, e).Should(gomega.Equal(http.StatusOK))
		}
	})

	// Guards against a hanging connection that keeps a new version from coming into force.
	ginkgo.It("puts a new version in force after reads of the table hung", func(ctx context.Context) {
		s := newTestPlatform()
		s.roll(ctx, 1)
		e := s.startEntry()
		eventually(bundleVersion, e).Should(gomega.Equal(int64(1)))
		view := e.View()
		s.roll(ctx, 2)
		eventually(bundleVersion, e).Should(gomega.Equal(int64(2)))
		gomega.Expect(view.Bundle().Version()).To(gomega.Equal(int64(1)), "a request in flight keeps its version")
		s.platform.Table.Faults.SetSilent(true)
		awaitFailedReads(e, 1)
		s.platform.Table.Faults.SetSilent(false)
		s.roll(ctx, 3)
		eventually(bundleVersion, e).Should(gomega.Equal(int64(3)))
		eventually(readyStatus, e).Should(gomega.Equal(http.StatusOK))
	})
})
