package bergamotwire_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotwire"
)

type replyCase struct {
	reset bool // while the request is still being sent
	want  error
}

var _ = ginkgo.Describe("an early reply to a long request", func() {
	const part = "part of a reply"
	// Guards against replies of services, engines and stores that are cut short by a reset and pass for whole.
	bergamottest.Cases(map[string]replyCase{
		"fails when it is reset":              {reset: true, want: syscall.ECONNRESET},
		"arrives whole when it ends in order": {},
	}, func(c replyCase) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }() // ends the accepting goroutine if it still waits
		gate := &bergamotfake.UploadGate{Text: "/reset"}
		gate.Limit(1)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }() // the client sees a failure
			in := bufio.NewReader(conn)
			if _, err = http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+part)
			if c.reset {
				gate.AwaitRead()
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, in)
		}()
		client := bergamotwire.NewClientWithoutKeepAlive()
		client.Wrap(func(t http.RoundTripper) http.RoundTripper {
			next := t.(*bergamotwire.Transport).Next.(*http.Transport)
			gate.Dial, next.DialContext = next.DialContext, gate.DialContext
			return t
		})
		path := "/ordered"
		if c.reset {
			path = "/reset"
		}
		body, _, err := client.Do(context.Background(), http.MethodPost, l.Addr().String(), path, nil, bytes.Repeat([]byte{'u'}, 4<<20))
		if c.want != nil {
			gomega.Expect(err).To(gomega.MatchError(c.want))
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(body)).To(gomega.Equal(part))
	})
})
