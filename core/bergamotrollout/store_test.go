package bergamotrollout_test

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"time"

	"bergamotspur/core/bergamotstore"
)

var errDown = errors.New("no reply")

// fault is what happens to one call of the store.
type fault int

const (
	none  fault = iota
	down        // the call has no effect
	lost        // the call takes effect, but its reply is lost
	late        // the call takes effect only when the next call arrives
	other       // another operator writes before the call takes effect
	wrong       // the write is rejected
)

// store is a table with one row and an object store, both in memory. Calls named in plan meet its faults in
// turn, all others succeed.
type store struct {
	row     bergamotstore.Row
	objects map[string][]byte
	plan    map[string][]fault
	calls   map[string]int
	rival   []byte // head that another operator writes
	pending func()
}

func newStore() *store {
	return &store{objects: map[string][]byte{}, plan: map[string][]fault{}, calls: map[string]int{}}
}

func (s *store) next(call string) (f fault) {
	if s.pending != nil {
		s.pending()
		s.pending = nil
	}
	s.calls[call]++
	if plan := s.plan[call]; len(plan) > 0 {
		f, s.plan[call] = plan[0], plan[1:]
	}
	return f
}

func (s *store) Read(_ context.Context, key string) (bergamotstore.Row, error) {
	if s.next("read") != none {
		return bergamotstore.Row{}, errDown
	}
	return bergamotstore.NewRow(key, s.row.Revision(), s.row.Value()), nil
}

func (s *store) swap(revision int64, value []byte) bool {
	if s.row.Revision() != revision {
		return false
	}
	s.row = bergamotstore.NewRow("head", revision+1, bytes.Clone(value))
	return true
}

func (s *store) CompareAndSet(_ context.Context, _ string, revision int64, value []byte) (bergamotstore.Row, bool, error) {
	switch s.next("swap") {
	case down:
		return bergamotstore.Row{}, false, errDown
	case lost:
		s.swap(revision, value)
		return bergamotstore.Row{}, false, errDown
	case late:
		s.pending = func() { s.swap(revision, value) }
		return bergamotstore.Row{}, false, errDown
	case other:
		s.swap(revision, s.rival)
	case wrong:
		return bergamotstore.Row{}, false, bergamotstore.ErrRejected
	}
	ok := s.swap(revision, value)
	return s.row, ok, nil
}

func (s *store) Fetch(_ context.Context, name string) ([]byte, error) {
	if s.next("fetch") != none {
		return nil, errDown
	}
	data, ok := s.objects[name]
	if !ok {
		return nil, bergamotstore.ErrNotFound
	}
	return data, nil
}

func (s *store) Put(_ context.Context, name string, data []byte) error {
	switch s.next("put") {
	case down:
		return errDown
	case lost:
		s.objects[name] = data
		return errDown
	}
	s.objects[name] = data
	return nil
}

// restore returns a copy of the store without faults.
func (s *store) restore() *store {
	out := newStore()
	out.row, out.objects = s.row, maps.Clone(s.objects)
	return out
}

// instant is a clock on which no wait takes time.
type instant struct{}

func (instant) After(time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	ch <- time.Time{}
	return ch
}
