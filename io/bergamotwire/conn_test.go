package bergamotwire_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotwire"
)

type connCase struct {
	upload int // bytes that this side writes, and the other side does not read
	end    func(peer *net.TCPConn)
	first  bool  // the Write ends before this side reads
	want   error // of the Read after what the other side has sent
}

var _ = ginkgo.Describe("a connection", func() {
	const text, large = "part of an answer", 4 << 20 // does not fit into the buffers of a connection that is not read
	reset := func(peer *net.TCPConn) { _, _ = peer.SetLinger(0), peer.Close() }
	finish := func(peer *net.TCPConn) { _ = peer.CloseWrite() }
	// Guards against a reset that a Write was told of, and that a reader takes for the end of an answer, and against an answer that ends in
	// order and is rejected because the rest of its request could not be written, or whose writer closes the connection before it is read.
	bergamottest.Cases(map[string]connCase{
		"is reset when nothing is written":                        {end: reset, want: syscall.ECONNRESET},
		"is reset after a small write":                            {upload: 100, end: reset, want: syscall.ECONNRESET},
		"is reset when a write was told of it":                    {upload: large, end: reset, first: true, want: syscall.ECONNRESET},
		"is reset while a write waits":                            {upload: large, end: reset, want: syscall.ECONNRESET},
		"ends in order when nothing is written":                   {end: finish, want: io.EOF},
		"ends in order while a write waits":                       {upload: large, end: finish, want: io.EOF},
		"ends in order when the other side is reset afterwards":   {upload: large, end: func(peer *net.TCPConn) { finish(peer); reset(peer) }, want: io.EOF},
		"ends in order when a write was told of the reset of it":  {upload: large, end: func(peer *net.TCPConn) { finish(peer); reset(peer) }, first: true, want: io.EOF},
		"ends in order when the rest of the request is not taken": {upload: 100, end: func(peer *net.TCPConn) { finish(peer); _ = peer.Close() }, want: io.EOF},
	}, func(c connCase) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }() // it is not used again
		raw, err := net.Dial("tcp", l.Addr().String())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		accepted, err := l.Accept()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		peer := accepted.(*net.TCPConn)
		defer func() { _ = peer.Close() }() // most cases have closed it
		conn := bergamotwire.NewConn(raw)
		written, writeErr := make(chan struct{}), error(nil)
		go func() {
			defer close(written)
			_, writeErr = conn.Write(bytes.Repeat([]byte{'u'}, c.upload))
		}()
		defer func() {
			_ = conn.Close() // ends a Write that still waits
			<-written
		}()
		if c.upload < large {
			<-written
		} else {
			// The Write has begun once something arrives. It cannot end before the connection does.
			_, err = io.ReadFull(peer, make([]byte, 1))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		_, err = io.WriteString(peer, text)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		got := make([]byte, len(text))
		_, err = io.ReadFull(conn, got)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(got)).To(gomega.Equal(text))
		c.end(peer)
		if c.first {
			<-written
			gomega.Expect(writeErr == nil).To(gomega.Equal(errors.Is(c.want, io.EOF)), "a writer would take %v for the failure of a sound connection", writeErr)
		}
		_, err = conn.Read(got)
		gomega.Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(errors.Is(err, io.EOF)).To(gomega.Equal(errors.Is(c.want, io.EOF)), "a reader would take %v for the end of the answer", err)
	})
})
