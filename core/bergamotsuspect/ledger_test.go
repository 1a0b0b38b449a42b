package bergamotsuspect_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/core/bergamottest"
)

func digest(prompt string) bergamotsuspect.Digest {
	return bergamotsuspect.NewDigest("care", "1", "", prompt)
}

type failure struct {
	instance      string
	alone         bool
	sincePrevious time.Duration
}

type ledgerCase struct {
	failures  []failure
	clear     bool
	wait      time.Duration
	suspect   bool
	confirmed bool
}

type unstartedCase struct {
	failures  []string // contents of the requests at instances that failed; all but the first request were suspects
	cleared   string   // contents of a request that was answered afterwards, empty for none
	request   string
	confirmed bool
}

var _ = ginkgo.Describe("Ledger", func() {
	// Guards against rejecting a harmless prompt, and against never rejecting one that makes targets fail.
	bergamottest.Cases(map[string]ledgerCase{
		"marks a suspect after one failure":                    {failures: []failure{{"a", false, 0}}, suspect: true},
		"confirms after a second failure while running alone":  {failures: []failure{{"a", false, 0}, {"b", true, 0}}, suspect: true, confirmed: true},
		"confirms after a second failure on the same instance": {failures: []failure{{"a", false, 0}, {"a", true, 0}}, suspect: true, confirmed: true},
		"does not confirm when all instances of a rack fail":   {failures: []failure{{"a", false, 0}, {"b", false, 0}, {"c", false, 0}}, suspect: true},
		"counts a failure once when duplicates report it":      {failures: []failure{{"a", true, 0}, {"a", true, time.Second}}, suspect: true},
		"clears a suspect whose request completed":             {failures: []failure{{"a", false, 0}}, clear: true},
		"does not clear a confirmed content":                   {failures: []failure{{"a", false, 0}, {"b", true, 0}}, clear: true, suspect: true, confirmed: true},
		"expires a suspect":                                    {failures: []failure{{"a", false, 0}}, wait: time.Hour},
		"expires a confirmed content":                          {failures: []failure{{"a", false, 0}, {"b", true, 0}}, wait: time.Hour},
		"does not combine a failure with an expired one":       {failures: []failure{{"a", false, 0}, {"b", true, time.Hour}}, suspect: true},
	}, func(c ledgerCase) {
		clock := bergamotclock.NewVirtual(time.Unix(0, 0))
		l := bergamotsuspect.NewLedger(clock)
		for _, f := range c.failures {
			clock.Advance(f.sincePrevious)
			l.RecordFailure([]bergamotsuspect.Digest{digest("p")}, f.instance, f.alone)
		}
		if c.clear {
			l.Clear(digest("p"))
		}
		clock.Advance(c.wait)
		gomega.Expect(l.IsSuspect(digest("p"))).To(gomega.Equal(c.suspect))
		gomega.Expect(l.IsConfirmed(digest("p"))).To(gomega.Equal(c.confirmed))
		// After an exchange of records, entries whose clocks differ agree, also when the exchange is repeated.
		other := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(5000, 0)))
		other.Merge(l.Export())
		other.Merge(l.Export())
		gomega.Expect(other.IsSuspect(digest("p"))).To(gomega.Equal(c.suspect))
		gomega.Expect(other.IsConfirmed(digest("p"))).To(gomega.Equal(c.confirmed))
	})

	// Guards against blaming requests that only waited at instances that failed, and what they share with others, and against
	// never finding a request, or a part of prompts, on which instances fail before they begin to answer.
	bergamottest.Cases(map[string]unstartedCase{
		"confirms a request after two instances":                    {[]string{"r1 good bad", "r1 good bad"}, "", "r1 good bad", true},
		"admits other requests with its parts":                      {[]string{"r1 good bad", "r1 good bad"}, "", "r2 good bad", false},
		"confirms a part after three instances":                     {[]string{"r1 good bad", "r1 good bad", "r2 bad"}, "good", "r3 bad", true},
		"confirms a part of three requests":                         {[]string{"r1 bad", "r2 bad", "r3 bad"}, "", "r4 bad", true},
		"admits a request that is answered later":                   {[]string{"r1 good bad", "r1 good bad"}, "r1 good bad", "r1 good bad", false},
		"admits the part of two requests":                           {[]string{"r1 bad", "r2 bad"}, "", "r3 bad", false},
		"admits a part with which a request was answered":           {[]string{"r1 good", "r2 good", "r3 good"}, "good", "r4 good", false},
		"admits the other part of three requests":                   {[]string{"r1 good bad", "r2 good bad", "r3 good bad"}, "good", "r4 good", false},
		"admits requests that lack one part of all that they share": {[]string{"r1 good bad", "r2 good bad", "r3 good bad"}, "", "r4 good", false},
	}, func(c unstartedCase) {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(0, 0)))
		l.CrashOnce = true
		for i, contents := range c.failures {
			l.RecordUnstarted(digests(contents), fmt.Sprint("runner", i), i > 0)
		}
		l.Clear(digests(c.cleared)...)
		gomega.Expect(l.IsConfirmed(digests(c.request)...)).To(gomega.Equal(c.confirmed))
		gomega.Expect(l.MustRunAlone(digests("other bad good")...)).To(gomega.BeFalse())
		other := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(5000, 0)))
		other.CrashOnce = true
		for _, f := range l.Export() {
			key, data := bergamotsuspect.EncodeFailure(f)
			decoded, ok := bergamotsuspect.DecodeFailure(key, data, f.Age())
			gomega.Expect(ok).To(gomega.BeTrue())
			other.Merge([]bergamotsuspect.Failure{decoded})
		}
		gomega.Expect(other.IsConfirmed(digests(c.request)...)).To(gomega.Equal(c.confirmed))
	})

	// Guards against requests that waited at an instance which push out the failure of the one that made it fail.
	ginkgo.It("keeps the failures of all requests that waited at an instance", func() {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(0, 0)))
		l.CrashOnce = true
		l.RecordUnstarted(digests("deadly good"), "a", false)
		for n := range 20 {
			l.RecordUnstarted(digests(fmt.Sprintf("waiting%d good", n)), "a", false)
		}
		l.RecordUnstarted(digests("deadly good"), "b", true)
		gomega.Expect(l.IsConfirmed(digests("deadly good")...)).To(gomega.BeTrue())
		gomega.Expect(l.IsConfirmed(digests("waiting7 good")...)).To(gomega.BeFalse())
	})

	// Guards against requests that waited at an instance which push out the failures that tell more.
	ginkgo.It("evicts failures of requests that may have waited first", func() {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(0, 0)))
		l.CrashOnce = true
		l.RecordFailure(digests("r1 bad"), "a", false)
		for n := range 20 {
			l.RecordUnstarted(digests(fmt.Sprintf("waiting%d bad", n)), fmt.Sprint("b", n), false)
		}
		l.RecordFailure(digests("r2 bad"), "c", true)
		gomega.Expect(l.IsConfirmed(digests("r3 bad")...)).To(gomega.BeTrue())
	})

	// Guards against memory use that grows with the number of distinct prompts.
	ginkgo.It("is bounded and evicts suspects before confirmed contents", func() {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(0, 0)))
		l.MaxContents = 10
		l.RecordFailure([]bergamotsuspect.Digest{digest("bad")}, "a", false)
		l.RecordFailure([]bergamotsuspect.Digest{digest("bad")}, "b", true)
		for n := range 100 {
			l.RecordFailure([]bergamotsuspect.Digest{digest(string(rune('a' + n)))}, "a", false)
		}
		gomega.Expect(l.Len()).To(gomega.Equal(10))
		gomega.Expect(l.IsConfirmed(digest("bad"))).To(gomega.BeTrue())
	})
})

// digests returns the digests of contents that are separated by spaces.
func digests(contents string) (out []bergamotsuspect.Digest) {
	for _, c := range strings.Fields(contents) {
		out = append(out, digest(c))
	}
	return out
}

type groupCase struct {
	failures string // requests, separated by commas, each with its contents; each one ran as a suspect but for the first
	clear    string // contents of a request that completed
	rejects  string // requests that are rejected, separated by commas
	admits   string // requests that are not
}

var _ = ginkgo.Describe("Ledger of requests with several contents", func() {
	// Guards against rejecting a sound part of a prompt that only shared its runners, its caller or its requests with a
	// deadly one.
	bergamottest.Cases(map[string]groupCase{
		"rejects nothing after one failure":               {failures: "r1 first bad", admits: "r1 first bad,first,bad"},
		"rejects the part that two failures share":        {failures: "r1 bad,r2 bad", rejects: "r3 bad,r4 other bad", admits: "r1,r2,r3"},
		"rejects parts that always came together as such": {failures: "r1 first bad,r2 first bad", rejects: "r3 first bad", admits: "r4 first,r5 bad"},
		"finds the part that comes with different others": {failures: "r1 first bad,r2 second bad", rejects: "r3 bad,r4 first bad", admits: "first second,r5 first"},
		"finds the part after the other one is cleared":   {failures: "r1 first bad,r2 first bad", clear: "r3 first", rejects: "r4 bad", admits: "r5 first"},
		"rejects a request that is sent again":            {failures: "r1 first,r1 first", clear: "r2 first", rejects: "r1 first", admits: "r2 first"},
		"admits a part that completed in between":         {failures: "r1 good,r2 good", clear: "r3 good", admits: "r4 good"},
	}, func(c groupCase) {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(0, 0)))
		var shared []bergamotsuspect.Failure
		l.OnChange = func(f bergamotsuspect.Failure) { shared = append(shared, f) }
		for i, contents := range strings.Split(c.failures, ",") {
			l.RecordFailure(digests(contents), fmt.Sprint("runner", i), i > 0)
		}
		l.Clear(digests(c.clear)...)
		other := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(5000, 0)))
		for _, f := range shared {
			if len(f.Contents()) == 0 {
				other.Forget(f.ID())
				continue
			}
			key, data := bergamotsuspect.EncodeFailure(f)
			gomega.Expect(len(key)).To(gomega.BeNumerically("<=", 60))
			decoded, ok := bergamotsuspect.DecodeFailure(key, data, f.Age())
			gomega.Expect(ok).To(gomega.BeTrue())
			other.Merge([]bergamotsuspect.Failure{decoded})
		}
		for _, ledger := range []*bergamotsuspect.Ledger{l, other} {
			for _, r := range strings.Split(c.rejects, ",") {
				gomega.Expect(r == "" || ledger.IsConfirmed(digests(r)...)).To(gomega.BeTrue(), r)
			}
			for _, r := range strings.Split(c.admits, ",") {
				gomega.Expect(ledger.IsConfirmed(digests(r)...)).To(gomega.BeFalse(), r)
			}
		}
	})
})

var _ = ginkgo.Describe("Ledger of processes", func() {
	// Guards against confirming a sound part because a runner crashed on a deadly one while requests of two entries, one of
	// them a suspect for another part, were there with the sound one.
	ginkgo.It("counts the crash of one process once", func() {
		l := bergamotsuspect.NewLedger(bergamotclock.NewVirtual(time.Unix(0, 0)))
		l.CrashOnce = true
		l.RecordFailure(digests("r1 good"), "runner@1", false)
		l.RecordFailure(digests("r2 good bad"), "runner@1", true)
		gomega.Expect(l.IsConfirmed(digests("r3 good")...)).To(gomega.BeFalse())
		l.RecordFailure(digests("r4 bad"), "runner@2", true)
		gomega.Expect(l.IsConfirmed(digests("r5 bad")...)).To(gomega.BeTrue())
		gomega.Expect(l.IsConfirmed(digests("r6 good")...)).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("Isolation", func() {
	// Guards against a suspect that shares an instance with other requests: a failure could not be attributed to it.
	ginkgo.It("waits for requests in flight and blocks new ones", func(ctx context.Context) {
		i := bergamotsuspect.NewIsolation()
		release, err := i.Acquire(ctx, []string{"a"}, false)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		acquired := make(chan func(), 1)
		go func() {
			release, _ := i.Acquire(ctx, []string{"a", "b"}, true)
			acquired <- release
		}()
		gomega.Eventually(i.Reserved).Should(gomega.HaveKey("a"))
		gomega.Expect(acquired).NotTo(gomega.Receive())
		canceled, cancel := context.WithCancel(ctx)
		cancel()
		_, err = i.Acquire(canceled, []string{"b"}, false)
		gomega.Expect(err).To(gomega.MatchError(context.Canceled))
		release()
		(<-acquired)()
		gomega.Expect(i.Reserved()).To(gomega.BeEmpty())
	})
})
