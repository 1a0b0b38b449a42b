package bergamotmirror_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotmirror"
)

var _ = ginkgo.Describe("the followers of an entry", func() {
	// Guards against entries that are drawn twice or never, because a second hub counts as a follower or the numbers of entries are wrong.
	ginkgo.It("are those that can be reached, without hubs, with the entries that read through each", func() {
		f := newSmallFleet()
		f.clock.now += 4 * time.Second // those that followed before do not count any more
		hub := f.readers["a1"]
		for name, entries := range map[string]int{"x": 1, "w": 5, "a2": 0, "unreachable": 1} {
			address := name
			if name == "unreachable" {
				address = ""
			}
			hub.Answer(context.Background(), bergamotmirror.NewPeer(name, address), bergamotmirror.NewQuery(name, "t", at(0), 0, 0, entries))
		}
		gomega.Expect(hub.Followers()).To(gomega.Equal([]bergamotmirror.Follower{
			bergamotmirror.NewFollower(bergamotmirror.NewPeer("w", "w"), 5), bergamotmirror.NewFollower(bergamotmirror.NewPeer("x", "x"), 1),
		}))
	})
})
