package bergamotaccount

import (
	"errors"
	"io"
)

// ErrTooLarge is returned by ReadAll for more bytes than allowed.
var ErrTooLarge = errors.New("it is larger than allowed")

const (
	firstPiece = 4 << 10 // bytes allocated for data of unknown size
	// wholePiece is the largest declared size that is allocated at once; for a larger one, the memory grows as data arrives.
	wholePiece = 64 << 10
)

// ReadAll reads r to its end into memory that it charges before it allocates it. The charge also includes base bytes. The
// declared size is -1 if it is not known; limit is the largest allowed size, 0 for none. It returns ErrFull if the holder
// is evicted, ErrTooLarge for more than limit bytes, and otherwise the error of r.
func ReadAll(r io.Reader, c *Charge, base, declared, limit int64) (data []byte, err error) {
	if declared >= 0 && (limit <= 0 || declared < limit) {
		limit = declared
	}
	size := int64(firstPiece)
	switch {
	case declared > wholePiece:
		size = wholePiece
	case declared >= 0:
		size = declared
	}
	if limit > 0 {
		size = min(size, limit)
	}
	if err = c.Resize(base + size); err != nil {
		return nil, err
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			if int64(len(data)) == limit && limit > 0 || declared == 0 {
				return data, readEnd(r)
			}
			if data, err = grow(c, data, base, limit); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
		c.Progress(n)
	}
}

// grow returns data with twice the capacity, at most limit unless that is 0. While it copies, both are charged.
func grow(c *Charge, data []byte, base, limit int64) ([]byte, error) {
	size := 2 * int64(cap(data))
	if limit > 0 {
		size = min(size, limit)
	}
	if err := c.Resize(base + int64(cap(data)) + size); err != nil {
		return nil, err
	}
	grown := make([]byte, len(data), size)
	copy(grown, data)
	return grown, c.Resize(base + size)
}

// readEnd expects the end of r.
func readEnd(r io.Reader) error {
	var probe [1]byte
	for {
		n, err := r.Read(probe[:])
		switch {
		case n > 0:
			return ErrTooLarge
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
