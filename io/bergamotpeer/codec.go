package bergamotpeer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/samber/oops"
)

// maxFrame is the most bytes of one JSON-RPC object: a message in base64 and its envelope.
const maxFrame = MaxMessage/3*4 + 512

// frames writes each JSON-RPC object after its length in 4 bytes, which bounds what a peer can make this one read.
type frames struct{ most uint32 }

// WriteObject writes one object.
func (frames) WriteObject(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(make([]byte, 0, len(data)+4), uint32(len(data))), data...))
	return err
}

// ReadObject reads one object.
func (f frames) ReadObject(r *bufio.Reader, v any) error {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > f.most {
		return oops.In("peer").Errorf("frame of %d bytes, at most %d are allowed", n, f.most)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
