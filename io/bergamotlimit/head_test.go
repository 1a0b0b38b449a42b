package bergamotlimit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
)

// FuzzHead guards against heads of which fewer lines are counted than net/http decodes, and against an end of the head that is
// found elsewhere.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", "POST / HTTP/1.1\nHost: h\na:\n\n", "GET / HTTP/1.1\r\na: b\r\n c\r\n\r\n", "\r\n\r\n", "GET / HTTP/1.1\r\n\r\n\n",
	} {
		f.Add([]byte(text), 3)
	}
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = max(piece%50, 1)
		source := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(data)), 16)
		r, err := http.ReadRequest(source)
		var c headCounter
		rest := data
		for len(rest) > 0 && !c.done {
			n := min(piece, len(rest))
			left := c.add(rest[:n])
			rest = rest[n-len(left):]
		}
		if c.size != len(data)-len(rest) {
			t.Fatalf("%d bytes counted, %d used", c.size, len(data)-len(rest))
		}
		if err != nil {
			return
		}
		decoded := 1 // the request line
		for _, values := range r.Header {
			decoded += len(values)
		}
		if !c.done || c.lines < decoded {
			t.Fatalf("%d lines counted, %d decoded, end %v", c.lines, decoded, c.done)
		}
		if r.ContentLength != 0 {
			return
		}
		if want, err := io.ReadAll(source); err != nil || !bytes.Equal(want, rest) {
			t.Fatalf("%q is left after the head, not %q, %v", rest, want, err)
		}
	})
}

// TestHeadCost guards against a cost of heads that is lower than the memory that they use once decoded.
func TestHeadCost(t *testing.T) {
	for name, line := range map[string]func(i int) string{
		"the same lines":   func(int) string { return "a:\r\n" },
		"different lines":  func(i int) string { return fmt.Sprintf("%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676%26) },
		"lines of a value": func(i int) string { return fmt.Sprintf("A%d: b\r\n", i) },
		"ordinary lines":   func(i int) string { return fmt.Sprintf("X-Ordinary-%d: %s\r\n", i, strings.Repeat("v", 30)) },
	} {
		text, n := "GET / HTTP/1.1\r\nHost: h\r\n", 0
		for ; len(text) < 15<<10; n++ {
			text += line(n)
		}
		text += "\r\n"
		var c headCounter
		c.add([]byte(text))
		var requests []*http.Request
		before := heap()
		for range 40 {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			if err != nil {
				t.Fatal(err)
			}
			requests = append(requests, r)
		}
		used := (heap() - before) / int64(len(requests))
		runtime.KeepAlive(requests)
		t.Logf("%s: %d lines of %d bytes use %d bytes, %d are charged", name, c.lines, c.size, used, c.cost())
		if used > c.cost()+ordinaryHead {
			t.Errorf("%s: %d bytes are used, %d charged", name, used, c.cost())
		}
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
