package bergamotfake_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

type gateCase struct {
	kind   bergamotfake.Cut
	others bool  // only other targets are cut off
	opens  error // of a new connection
	reads  error // of an open connection to which the target sends a line and then closes it
}

var _ = ginkgo.Describe("a gate", func() {
	const timeout = 50 * time.Millisecond
	// Guards against specs that pass because a cut looks like the orderly end of a connection, or like none.
	bergamottest.Cases(map[string]gateCase{
		"passes everything when it is open": {reads: io.EOF},
		"passes nothing when it hangs":      {kind: bergamotfake.CutHang, opens: context.DeadlineExceeded, reads: os.ErrDeadlineExceeded},
		"resets connections":                {kind: bergamotfake.CutReset, opens: syscall.ECONNRESET, reads: syscall.ECONNRESET},
		"refuses only new connections":      {kind: bergamotfake.CutRefuse, opens: syscall.ECONNREFUSED, reads: io.EOF},
		"passes the ways that are not cut":  {kind: bergamotfake.CutHang, others: true, reads: io.EOF},
	}, func(c gateCase) {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { gomega.Expect(target.Close()).To(gomega.Succeed()) }()
		gate, err := bergamotfake.NewGate()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer gate.Close()
		dial := bergamotfake.GateDialer(gate.Address())
		open, err := dial(context.Background(), "tcp", target.Addr().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		accepted, err := target.Accept()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = accepted.Close() }() // the gate may have closed it

		only := target.Addr().String()
		if c.others {
			only = "127.0.0.1:1"
		}
		gate.SetCut(c.kind, only)
		ctx, cancel := context.WithCancel(context.Background())
		if errors.Is(c.opens, context.DeadlineExceeded) {
			ctx, cancel = context.WithTimeout(context.Background(), timeout)
		}
		defer cancel()
		_, err = dial(ctx, "tcp", target.Addr().String())
		if c.opens == nil {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		} else {
			gomega.Expect(err).To(gomega.MatchError(c.opens))
		}
		_, _ = accepted.Write([]byte("line\n")) // a reset connection fails
		_ = accepted.Close()
		if errors.Is(c.reads, os.ErrDeadlineExceeded) {
			gomega.Expect(open.SetReadDeadline(time.Now().Add(timeout))).To(gomega.Succeed())
		}
		text, err := io.ReadAll(bufio.NewReader(open))
		if errors.Is(c.reads, io.EOF) {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(text)).To(gomega.Equal("line\n"))
		} else {
			gomega.Expect(err).To(gomega.MatchError(c.reads))
			gomega.Expect(text).To(gomega.BeEmpty())
		}
		if c.kind == bergamotfake.CutHang {
			gate.SetCut(bergamotfake.CutNone)
			gomega.Expect(open.SetReadDeadline(time.Time{})).To(gomega.Succeed())
			rest, err := io.ReadAll(open)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(string(text) + string(rest)).To(gomega.Equal("line\n"))
		}
	})

	// Guards against a race between a dial that returns and the end of its context.
	ginkgo.It("fails a connection whose context ends as it is opened", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }() // it is not used again
		dial := bergamotfake.GateDialer(l.Addr().String())
		for range 100 {
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }() // the other side has given it up
				_, _ = bufio.NewReader(c).ReadString('\n')
				cancel()
				_, _ = c.Write([]byte("c"))
			}()
			_, err := dial(ctx, "tcp", "127.0.0.1:1")
			gomega.Expect(err).To(gomega.MatchError(context.Canceled))
			<-ended
		}
	})
})
