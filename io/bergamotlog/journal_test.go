package bergamotlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotlog"
)

func TestLog(t *testing.T) { bergamottest.Run(t, "log") }

// blocked is an output that takes nothing until it is opened.
type blocked struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

var _ = ginkgo.Describe("a journal", func() {
	// Guards against requests that wait for a slow output, and against memory that grows with what waits.
	ginkgo.It("never waits for its output", func() {
		out := &blocked{open: make(chan struct{})}
		j := bergamotlog.NewJournal(out, "entry-1")
		for i := range 5000 {
			j.Event("part", "kind "+strings.Repeat("x", i%50), "n", i)
		}
		close(out.open)
		j.Close()
		gomega.Expect(strings.Count(out.text.String(), "\n")).To(gomega.BeNumerically("<=", 2100))
	})

	// Guards against a kind of line that fills the output, and against lines that are left out without a word.
	ginkgo.It("bounds the lines of a kind and leaves others alone", func() {
		var out blocked
		out.open = make(chan struct{})
		close(out.open)
		j := bergamotlog.NewJournal(&out, "entry-1")
		for range 1000 {
			j.Event("part", "often")
		}
		j.Event("part", "seldom", "id", "7")
		j.Close()
		gomega.Expect(strings.Count(out.text.String(), "often")).To(gomega.BeNumerically("<", 300))
		gomega.Expect(out.text.String()).To(gomega.ContainSubstring(`"id":"7"`))
	})
})
