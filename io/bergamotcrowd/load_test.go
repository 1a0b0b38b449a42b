//go:build crowd

package bergamotcrowd

import (
	"bytes"
	"fmt"
	"io"
	"strings"
)

const (
	maxHead   = 16 << 10 // maxHeaderBytes of the configuration
	gap       = 64 << 10 // bytes by which bodies stop short of their end
	pieceSize = 64 << 10 // bytes of a body that are sent at once
	// excess is how many times the maximum size bodies far over the limit have.
	excess = 8
	// peerHead is the size of the heads that are sent to the port for other entries, below the default limit of net/http of
	// 1 MiB.
	peerHead = 900 << 10
)

var filler = bytes.Repeat([]byte{'x'}, pieceSize)

// head returns the head of a request of the load without the empty line at its end.
func head(path string, n int, fields ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\nX-Bergamotspur-Attempt-Id: crowd-%d\r\n"+
		"X-Bergamotspur-Deadline-Ms: 20000\r\n%s", path, hostName, loadKey, n, strings.Join(fields, ""))
}

// write sends pieces one after the other.
func write(w io.Writer, pieces ...string) error {
	for _, p := range pieces {
		if _, err := io.WriteString(w, p); err != nil {
			return err
		}
	}
	return nil
}

// writeBody sends size bytes of a body.
func writeBody(w io.Writer, size int) error {
	for size > 0 {
		n, err := w.Write(filler[:min(size, len(filler))])
		if err != nil {
			return err
		}
		size -= n
	}
	return nil
}

// writeChunks sends size bytes of a body in chunks of a size.
func writeChunks(w io.Writer, size, chunk int) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, filler[:chunk])
	perPiece := max(pieceSize/chunk, 1)
	piece := strings.Repeat(one, perPiece)
	for left := size / chunk; left > 0; left -= perPiece {
		if err := write(w, piece[:min(left, perPiece)*len(one)]); err != nil {
			return err
		}
	}
	return nil
}

// chunkedBody begins a body in chunks that stops short of the limit by a number of bytes.
func chunkedBody(chunk, short int) func(d *deployment, n int, w io.Writer) error {
	return func(d *deployment, n int, w io.Writer) error {
		if err := write(w, head("/o/1", n, "Transfer-Encoding: chunked\r\n"), "\r\n"); err != nil {
			return err
		}
		return writeChunks(w, d.machine.maxBody()-short, chunk)
	}
}

// moreChunks goes on with a body in chunks far over the limit.
func moreChunks(d *deployment, _ int, w io.Writer) error {
	return writeChunks(w, excess*d.machine.maxBody(), pieceSize)
}

// declaredBody begins a body with a length and sends all of it, or of the part within the limit, but for the last bytes.
func declaredBody(times, short int) func(d *deployment, n int, w io.Writer) error {
	return func(d *deployment, n int, w io.Writer) error {
		length := fmt.Sprintf("Content-Length: %d\r\n", times*d.machine.maxBody())
		if err := write(w, head("/o/1", n, length), "\r\n"); err != nil {
			return err
		}
		return writeBody(w, d.machine.maxBody()-short)
	}
}

// moreBody goes on with a body with a length far over the limit.
func moreBody(d *deployment, _ int, w io.Writer) error {
	return writeBody(w, (excess-1)*d.machine.maxBody())
}

// openBody announces a body that is never sent, so that the head is held.
const openBody = "Content-Length: 100\r\n"

// fullHead sends a head of a size with as many lines as fit, and announces a body that is never sent.
func fullHead(path string, size int, line func(n int) string) func(d *deployment, n int, w io.Writer) error {
	return func(_ *deployment, n int, w io.Writer) error {
		text := bytes.NewBufferString(head(path, n, openBody))
		for i := 0; ; i++ {
			l := line(i)
			if text.Len()+len(l)+len("\r\n") > size {
				break
			}
			text.WriteString(l) // a buffer takes all
		}
		return write(w, text.String(), "\r\n")
	}
}

// shortLine returns short header lines that are all different.
func shortLine(n int) string { return numeral(n, "abcdefghijklmnopqrstuvwxyz0123456789") + ":\r\n" }

// numeral returns texts of the digits that are all different, the shortest first.
func numeral(n int, digits string) string {
	var text []byte
	for n++; n > 0; n /= len(digits) {
		n--
		text = append(text, digits[n%len(digits)])
	}
	return string(text)
}

// oddLine returns header lines whose names have no letters, each twice, with an empty and with a blank value.
func oddLine(n int) string { return numeral(n/2, "!#$%&'*+-.^_`|~") + []string{":\r\n", ": \r\n"}[n%2] }

// call sends a complete request.
func call(path string) func(d *deployment, n int, w io.Writer) error {
	return func(_ *deployment, n int, w io.Writer) error {
		body := fmt.Sprint("prompt of the crowd ", n)
		return write(w, head(path, n, fmt.Sprintf("Content-Length: %d\r\n", len(body))), "\r\n", body)
	}
}

// nothing sends nothing.
func nothing(*deployment, int, io.Writer) error { return nil }

func peerPort(d *deployment) string { return d.peers }
