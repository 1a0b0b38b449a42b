package bergamotmemory_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

func TestMemory(t *testing.T) { bergamottest.Run(t, "memory") }

type faultCase struct {
	fault bergamotmemory.Fault
	err   error
	now   string // value of the row after the write
	later string // value of the row after the delay
}

// Guards against a fault that is not injected; tests of other packages would then pass without testing it.
var _ = ginkgo.Describe("a write to the store", func() {
	bergamottest.Cases(map[string]faultCase{
		"takes effect": {bergamotmemory.OK, nil, "new", "new"},
		"has no effect while the service is down":              {bergamotmemory.Down, bergamotmemory.ErrNoReply, "old", "old"},
		"takes effect although its reply is lost":              {bergamotmemory.ReplyLost, bergamotmemory.ErrNoReply, "new", "new"},
		"takes effect after a delay":                           {bergamotmemory.Delayed, bergamotmemory.ErrNoReply, "old", "new"},
		"takes effect once although a duplicate arrives later": {bergamotmemory.Duplicated, nil, "new", "new"},
		"is rejected": {bergamotmemory.Rejected, bergamotstore.ErrRejected, "old", "old"},
		"conflicts with the write of a rival that came first": {bergamotmemory.RivalFirst, nil, "rival", "rival"},
	}, func(c faultCase) {
		ctx, clock, s := context.Background(), bergamotclock.NewVirtual(time.Unix(0, 0)), bergamotmemory.NewStore()
		s.Clock, s.Delay, s.Rival = clock, time.Second, func() { s.SetRow("k", []byte("rival")) }
		s.SetRow("k", []byte("old"))
		s.Plan[bergamotmemory.Swap] = []bergamotmemory.Fault{c.fault}
		_, ok, err := s.CompareAndSet(ctx, "k", 1, []byte("new"))
		gomega.Expect(ok).To(gomega.Equal(err == nil && c.now == "new"))
		if c.err == nil {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		} else {
			gomega.Expect(err).To(gomega.MatchError(c.err))
		}
		for _, want := range []string{c.now, c.later} {
			row, err := s.Read(ctx, "k")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(row.Value())).To(gomega.Equal(want))
			clock.Advance(time.Second)
		}
		gomega.Expect(s.Writes()).To(gomega.BeNumerically("<=", 2))
		gomega.Expect(s.Journal()).To(gomega.Equal([]string{bergamotmemory.Swap, bergamotmemory.Read, bergamotmemory.Read}))
	})
})
