package bergamottunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
)

const (
	// headerSize is the size of the header of a frame: the number of bytes that follow, 0 for the last frame.
	headerSize = 2
	// maxFrame is the size of the largest frame in bytes, without its header.
	maxFrame = 4 << 10
)

// Ends of the connection between helper and runner, the byte after the header of the last frame.
const (
	endClosed byte = 1 // the runner closed it
	endReset  byte = 2 // the runner reset it, or did not acknowledge bytes in time
)

// ErrBroken is the error of a tunnel that ended without the end of the connection to the runner: the helper or the way to it
// failed. What the runner has done is not known.
var ErrBroken = errors.New("the tunnel broke off")

// writeFrames copies what the runner sends into frames until one side ends.
func writeFrames(w io.Writer, runner io.Reader) (n int64, err error) {
	buffer := make([]byte, headerSize+maxFrame)
	for {
		read, err := runner.Read(buffer[headerSize:])
		n += int64(read)
		if read > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(read))
			if _, err := w.Write(buffer[:headerSize+read]); err != nil {
				return n, err
			}
		}
		if err != nil {
			end := endClosed
			if !errors.Is(err, io.EOF) {
				end = endReset
			}
			_, writeErr := w.Write([]byte{0, 0, end})
			return n, errors.Join(err, writeErr)
		}
	}
}

// frameReader reads the bytes of the runner from frames.
type frameReader struct {
	in   io.Reader
	left int   // bytes of the current frame
	end  error // how the connection to the runner ended
}

// Read returns bytes of the runner; the error is io.EOF or syscall.ECONNRESET when its connection ended so, and wraps ErrBroken
// when the tunnel did.
func (r *frameReader) Read(p []byte) (n int, err error) {
	if r.end != nil {
		return 0, r.end
	}
	if len(p) == 0 {
		return 0, nil
	}
	if r.left == 0 {
		if err := r.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err = r.in.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, r.broken(err)
}

func (r *frameReader) readHeader() error {
	var header [headerSize + 1]byte
	if _, err := io.ReadFull(r.in, header[:headerSize]); err != nil {
		return r.broken(err)
	}
	r.left = int(binary.BigEndian.Uint16(header[:]))
	if r.left > 0 {
		return nil
	}
	if _, err := io.ReadFull(r.in, header[headerSize:]); err != nil {
		return r.broken(err)
	}
	switch header[headerSize] {
	case endClosed:
		r.end = io.EOF
	case endReset:
		r.end = &net.OpError{Op: "read", Net: "tunnel", Err: syscall.ECONNRESET}
	default:
		r.end = r.broken(errors.New("an unknown frame"))
	}
	return r.end
}

// broken returns the error of a tunnel that ended; deadlines of the connection pass unchanged. The error does not wrap its cause, since
// a reader would take io.EOF for the end of the answer.
func (r *frameReader) broken(err error) error {
	var n net.Error
	if err == nil || errors.Is(err, net.ErrClosed) || errors.As(err, &n) && n.Timeout() {
		return err
	}
	return fmt.Errorf("%w: %v", ErrBroken, err)
}
