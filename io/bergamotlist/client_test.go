package bergamotlist_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
)

func TestList(t *testing.T) { bergamottest.Run(t, "list") }

func instance(n int) bergamotlist.InstanceMessage {
	return bergamotlist.InstanceMessage{
		Name: fmt.Sprintf("runner-%04d", n), Address: fmt.Sprintf("10.%d.%d.%d:7000", n/2500, n/250%10, n%250+1),
		Centre: fmt.Sprintf("centre-%d", n%5), Kind: fmt.Sprintf("kind-%d", n%7), Role: "runner", MaxLayers: 16 + n%3*8, State: "live",
	}
}

// serve fills the list, serves it over HTTP and returns its address and a function that closes the server.
func serve(l *bergamotfake.Instances, instances int) (address string, closeServer func()) {
	for n := range instances {
		l.Put(instance(n))
	}
	s := httptest.NewServer(l.Handler())
	return strings.TrimPrefix(s.URL, "http://"), s.Close
}

var _ = ginkgo.Describe("a read of the list", func() {
	// Guards against a list that is sent in full although it has not changed, an ETag that hides a change, and a
	// list without ETags or compression that cannot be read.
	bergamottest.Cases(map[string]struct {
		plain            bool
		maxSize          int // limit for a list of 3,100 instances, in bytes
		maxUnchangedSize int // limit for a second read of the same list, in bytes
	}{
		"has no body if nothing changed":      {maxSize: 100_000},
		"is complete if the list has no ETag": {plain: true, maxSize: 600_000, maxUnchangedSize: 600_000},
	}, func(c struct {
		plain            bool
		maxSize          int
		maxUnchangedSize int
	},
	) {
		list := bergamotfake.NewInstances()
		list.Plain = c.plain
		address, end := serve(list, 3100)
		defer end()
		client := bergamotlist.NewClient(address)
		defer client.Close()
		first := read(client, "")
		gomega.Expect(len(first.Specs())).To(gomega.Equal(3100))
		gomega.Expect(first.Size()).To(gomega.BeNumerically("<=", c.maxSize))
		second := read(client, first.Tag())
		gomega.Expect(second.Size()).To(gomega.BeNumerically("<=", c.maxUnchangedSize))
		gomega.Expect(second.IsUnchanged()).To(gomega.Equal(!c.plain))
		leaving := instance(7)
		leaving.State = bergamotlist.StateLeaving
		list.Put(leaving)
		changed := read(client, first.Tag())
		gomega.Expect(changed.IsUnchanged()).To(gomega.BeFalse())
		gomega.Expect(changed.Tag() == first.Tag()).To(gomega.Equal(c.plain))
		gomega.Expect(len(changed.Specs())).To(gomega.Equal(3100))
		ginkgo.GinkgoWriter.Printf("whole %d B, again %d B\n", first.Size(), second.Size())
	})
})

func read(c *bergamotlist.Client, tag string) bergamotcontrol.Listing {
	l, err := c.List(context.Background(), tag)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return l
}

// BenchmarkList measures a read of 3,100 instances and reports the size of the body in bytes.
func BenchmarkList(b *testing.B) {
	for _, plain := range []bool{true, false} {
		b.Run(fmt.Sprintf("plain=%v", plain), func(b *testing.B) {
			list := bergamotfake.NewInstances()
			list.Plain = plain
			address, end := serve(list, 3100)
			defer end()
			c := bergamotlist.NewClient(address)
			defer c.Close()
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				l, err := c.List(context.Background(), "")
				if err != nil {
					b.Fatal(err)
				}
				size = l.Size()
			}
			b.ReportMetric(float64(size), "body-B")
		})
	}
}
