package bergamotlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bergamotspur/core/bergamotaccount"
	"bergamotspur/core/bergamotclock"
)

// FuzzBody guards against bodies that change on the way, whatever the pieces in which they arrive, and against connections that
// lose a request after one.
func FuzzBody(f *testing.F) {
	f.Add([]byte("body"), 3, true)
	f.Add([]byte("POST / HTTP/1.1\r\n\r\n"), 1, false)
	f.Add(bytes.Repeat([]byte("\r\n"), 3000), 700, true)
	f.Add([]byte{}, 1, true)
	g := &rig{account: &bergamotaccount.Account{Max: 8 << 20, Clock: bergamotclock.Real{}}, causes: map[string]int{}}
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	g.listener = &Listener{Listener: l, Account: g.account, Clock: bergamotclock.Real{}, Recorder: g, MaxHeaderBytes: rigHeaderBytes}
	g.listener.SetMaxConns(100)
	s := &Server{Handler: g, HeaderTimeout: time.Second, IdleTimeout: time.Second, MaxHeaderBytes: rigHeaderBytes}
	g.server = s.New()
	done := make(chan error, 1)
	go func() { done <- g.server.Serve(g.listener) }()
	f.Cleanup(func() {
		_ = g.server.Close() // the error of Serve is the one that matters
		<-done
	})
	f.Fuzz(func(t *testing.T, body []byte, piece int, chunked bool) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // a connection that has just been opened takes it
		reader := bufio.NewReader(c)
		for range 2 {
			for _, part := range requestParts(body, max(piece%1000, 1), chunked) {
				if _, err := c.Write(part); err != nil {
					t.Fatal(err)
				}
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != http.StatusOK || !bytes.Equal(got, body) {
				t.Fatalf("status %d, %q for %q, %v", resp.StatusCode, got, body, err)
			}
		}
	})
}

// requestParts returns a request in pieces, which are chunks of the body if chunked is set.
func requestParts(body []byte, piece int, chunked bool) (parts [][]byte) {
	head := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if chunked {
		head = "Transfer-Encoding: chunked\r\n"
	}
	parts = append(parts, []byte(post("/", head, "")))
	for ; len(body) > 0; body = body[min(piece, len(body)):] {
		p := body[:min(piece, len(body))]
		if chunked {
			p = fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p)
		}
		parts = append(parts, p)
	}
	if chunked {
		parts = append(parts, []byte("0\r\n\r\n"))
	}
	return parts
}
