package bergamotfake

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// commentInterval is the time between two comments of EndlessComments.
const commentInterval = 20 * time.Millisecond

// sendEndless sends an answer with a part that ends only when the caller closes the connection.
func (f *RelayRunner) sendEndless(w http.ResponseWriter, p EndlessPart) {
	filler, pause := bytes.Repeat([]byte{'x'}, 32<<10), time.Duration(0)
	out := io.Writer(w)
	switch p {
	case EndlessHead:
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // the caller has closed it
		out = conn
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Filler: ") // fails only like the writes below
	case EndlessEvent, EndlessComments:
		_, _ = io.WriteString(w, "id: 0\ndata: token 0\n\n")
		if p == EndlessComments {
			filler, pause = []byte(": still here\n\n"), commentInterval
		}
	}
	for {
		n, err := out.Write(filler)
		f.mu.Lock()
		f.endlessSent += int64(n)
		f.mu.Unlock()
		if err != nil || out == io.Writer(w) && http.NewResponseController(w).Flush() != nil {
			return
		}
		if pause > 0 {
			<-time.After(pause)
		}
	}
}
