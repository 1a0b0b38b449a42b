package bergamotpeer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/samber/oops"
)

// maxFrameBytes limits one JSON-RPC object: a message in base64 and its envelope.
const maxFrameBytes = MaxMessageBytes/3*4 + 512

// frameCodec prefixes each JSON-RPC object with its length in 4 bytes, so that a reader can reject large ones early.
type frameCodec struct{ maxBytes uint32 }

// WriteObject writes one object.
func (frameCodec) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data))), data...))
	return err
}

// ReadObject reads one object.
func (f frameCodec) ReadObject(r *bufio.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > f.maxBytes {
		return oops.In("peer").Errorf("frame of %d bytes, at most %d are allowed", n, f.maxBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
