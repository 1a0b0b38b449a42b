package bergamotrollout

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

// maxTextBytes is the maximum size of a bundle text, so that a damaged object cannot fill the memory of an entry.
const maxTextBytes = 16 << 20

var (
	gzipMagic       = []byte{0x1f, 0x8b}
	errTextTooLarge = errors.New("the text has more than 16 MiB")
)

// pack returns the object that stores a bundle text, compressed. Each entry fetches each version: uncompressed, 1,500
// texts of 1.6 MB a day would take 28 KB/s per entry, more than the 20 KB/s that all its control traffic may take.
func pack(text []byte) ([]byte, error) {
	if len(text) > maxTextBytes {
		return nil, errTextTooLarge
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// unpack returns the bundle text that an object stores, compressed or not.
func unpack(data []byte) (text []byte, err error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	if text, err = io.ReadAll(io.LimitReader(r, maxTextBytes+1)); err != nil {
		return nil, err
	}
	if len(text) > maxTextBytes {
		return nil, errTextTooLarge
	}
	return text, nil
}
