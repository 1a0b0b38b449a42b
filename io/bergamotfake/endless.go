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
	case EndlessHead, EndlessInterim, EndlessChunk, EndlessTrailer:
		header := w.Header().Clone()
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }() // the caller has closed it
		out = conn
		begin := bytes.NewBufferString("HTTP/1.1 200 OK\r\n")
		switch p {
		case EndlessHead:
			begin.WriteString("X-Filler: ")
		case EndlessInterim:
			begin.Reset()
			filler = []byte("HTTP/1.1 100 Continue\r\n\r\n")
		default:
			_ = header.Write(begin) // a buffer takes all
			begin.WriteString("Transfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n")
			if p == EndlessTrailer {
				begin.WriteString("0\r\nX-Filler: ")
			} else {
				filler = bytes.Repeat([]byte{'0'}, 32<<10)
			}
		}
		_, _ = conn.Write(begin.Bytes()) // fails only like the writes below
	case EndlessEvent, EndlessComments:
		w.Header().Set("Content-Type", "text/event-stream")
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
