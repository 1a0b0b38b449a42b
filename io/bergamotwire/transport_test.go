package bergamotwire_test

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/io/bergamotwire"
)

var _ = ginkgo.Describe("the transport", func() {
	// Guards against a server that sends the head of a reply without end and fills the memory of its caller.
	ginkgo.It("gives up a head that does not end", func(ctx context.Context) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = l.Close() }() // ends the accepting goroutine if it still waits
		sent := make(chan int, 1)
		go func() {
			n := 0
			defer func() { sent <- n }()
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }() // the caller has closed it
			filler := append([]byte("HTTP/1.1 200 OK\r\nX-Filler: "), bytes.Repeat([]byte{'x'}, 32<<10)...)
			for err == nil {
				var written int
				written, err = c.Write(filler)
				n += written
				filler = filler[len(filler)-32<<10:]
			}
		}()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String()+"/", nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = bergamotwire.NewTransport().RoundTrip(req)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(<-sent).To(gomega.BeNumerically("<", 8<<20)) // the buffers of the sockets hold up to 6 MB
	})
})
