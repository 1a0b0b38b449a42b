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

// blockingWriter is an output whose writes block until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

var _ = ginkgo.Describe("an asynchronous logger", func() {
	// Guards against requests that wait for a slow log output, and against an unbounded queue of lines.
	ginkgo.It("never blocks on its output", func() {
		out := &blockingWriter{open: make(chan struct{})}
		l := bergamotlog.NewAsyncLogger(out, "entry-1")
		for i := range 5000 {
			l.Event("part", "kind "+strings.Repeat("x", i%50), "n", i)
		}
		close(out.open)
		l.Close()
		gomega.Expect(strings.Count(out.text.String(), "\n")).To(gomega.BeNumerically("<=", 2100))
	})

	// Guards against a frequent line that floods the log, and against lines that are suppressed without a trace.
	ginkgo.It("limits the rate of one kind of line without affecting others", func() {
		var out blockingWriter
		out.open = make(chan struct{})
		close(out.open)
		l := bergamotlog.NewAsyncLogger(&out, "entry-1")
		for range 1000 {
			l.Event("part", "often")
		}
		l.Event("part", "seldom", "id", "7")
		l.Close()
		gomega.Expect(strings.Count(out.text.String(), "often")).To(gomega.BeNumerically("<", 300))
		gomega.Expect(out.text.String()).To(gomega.ContainSubstring(`"id":"7"`))
	})
})
