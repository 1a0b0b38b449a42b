package bergamotmemory

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"bergamotspur/core/bergamotstore"
)

// Store is a table service and an object store in memory.
type Store struct {
	FaultInjector
	OnWrite func(ctx context.Context) // called for each table write that takes effect; may be nil
	Era     int64                     // era of the rows, 0 for a service that names none; Restore raises it

	mu      sync.Mutex
	rows    map[string]bergamotstore.Row
	objects map[string][]byte
}

// NewStore returns an empty store that injects no faults.
func NewStore() *Store {
	return &Store{
		FaultInjector: FaultInjector{Plan: map[string][]Fault{}},
		rows:          map[string]bergamotstore.Row{}, objects: map[string][]byte{},
	}
}

// Clone returns a store with the same content that injects no faults.
func (s *Store) Clone() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := NewStore()
	out.rows, out.objects = maps.Clone(s.rows), maps.Clone(s.objects)
	return out
}

// Restore replaces the content by that of an older copy, so that revisions are given out again. Requests that are delayed
// apply to the new content.
func (s *Store) Restore(older *Store) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.objects = maps.Clone(older.rows), maps.Clone(older.objects)
	s.Era++
}

// Read returns a row, with revision 0 when it does not exist, or ErrNoReply.
func (s *Store) Read(ctx context.Context, key string) (bergamotstore.Row, error) {
	if s.nextFault(ctx, Read) != OK {
		return bergamotstore.Row{}, ErrNoReply
	}
	return s.Row(key), nil
}

// CompareAndSet writes a row if it has the given revision, and returns the row that is then stored and whether it was
// written, or ErrNoReply or ErrRejected.
func (s *Store) CompareAndSet(ctx context.Context, key string, revision int64, value []byte) (row bergamotstore.Row, ok bool, err error) {
	fault := s.nextFault(ctx, Swap)
	if fault == Rejected {
		return row, false, bergamotstore.ErrRejected
	}
	err = s.applyFault(fault, func() { row, ok = s.swap(ctx, key, revision, value) })
	if err != nil {
		return bergamotstore.Row{}, false, err
	}
	return row, ok, nil
}

// Page returns up to limit rows whose keys start with prefix and follow after, in key order, or ErrNoReply.
func (s *Store) Page(ctx context.Context, prefix, after string, limit int) (rows []bergamotstore.Row, err error) {
	if s.nextFault(ctx, Page) != OK {
		return nil, ErrNoReply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) && key > after && len(rows) < limit {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

// Put stores an object, or returns ErrNoReply or ErrRejected.
func (s *Store) Put(ctx context.Context, name string, data []byte) error {
	fault := s.nextFault(ctx, Put)
	if fault == Rejected {
		return bergamotstore.ErrRejected
	}
	return s.applyFault(fault, func() { s.SetObject(name, data) })
}

// Fetch returns an object, or ErrNotFound or ErrNoReply.
func (s *Store) Fetch(ctx context.Context, name string) ([]byte, error) {
	if s.nextFault(ctx, Fetch) != OK {
		return nil, ErrNoReply
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, bergamotstore.ErrNotFound
	}
	return data, nil
}

// Row returns a row, bypassing faults and journal; its revision is 0 when it does not exist.
func (s *Store) Row(key string) bergamotstore.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row(key)
}

// SetRow writes a row whatever its revision, bypassing faults and journal.
func (s *Store) SetRow(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows[key] = bergamotstore.NewRow(key, s.row(key).Revision()+1, bytes.Clone(value))
}

// ClearRows removes all rows.
func (s *Store) ClearRows() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rows)
}

// Writes returns the number of writes to the existing rows that took effect.
func (s *Store) Writes() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows {
		n += int(row.Revision())
	}
	return n
}

// SetObject stores an object, bypassing faults and journal.
func (s *Store) SetObject(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = bytes.Clone(data)
}

// Objects returns a copy of the objects by name.
func (s *Store) Objects() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects)
}

// ClearObjects removes all objects.
func (s *Store) ClearObjects() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.objects)
}

func (s *Store) swap(ctx context.Context, key string, revision int64, value []byte) (bergamotstore.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if row := s.row(key); row.Revision() != revision {
		return row, false
	}
	s.rows[key] = bergamotstore.NewRow(key, revision+1, bytes.Clone(value))
	if s.OnWrite != nil {
		s.OnWrite(ctx)
	}
	return s.row(key), true
}

func (s *Store) row(key string) bergamotstore.Row {
	if row, ok := s.rows[key]; ok {
		return row.In(s.Era)
	}
	return bergamotstore.NewRow(key, 0, nil).In(s.Era)
}
