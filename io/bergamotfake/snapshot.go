package bergamotfake

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
)

// headerEra is the header of all answers of a MetadataStore that counts its restores.
const headerEra = "Store-Era"

// A Snapshot is a copy of a MetadataStore.
type Snapshot struct {
	version, forgottenVersion int64
	rows                      map[string]MetadataRow
	history                   []MetadataRow
}

// Version returns the version of the latest change in the copy.
func (s Snapshot) Version() int64 { return s.version }

// Snapshot returns a copy of the current rows and their history.
func (s *MetadataStore) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		version: s.version, forgottenVersion: s.forgottenVersion, rows: maps.Clone(s.rows), history: slices.Clone(s.history),
	}
}

// Restore replaces the content by a copy and breaks off all waiting feeds. All later changes are lost, and their versions are
// given out again.
func (s *MetadataStore) Restore(c Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.forgottenVersion = c.version, c.forgottenVersion
	s.rows, s.history = maps.Clone(c.rows), slices.Clone(c.history)
	s.era.Add(1)
	close(s.restored)
	s.restored = make(chan struct{})
}

// Version returns the version of the latest change.
func (s *MetadataStore) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Feeds returns the number of feeds in progress.
func (s *MetadataStore) Feeds() int64 { return s.feeds.Load() }

// eraWriter names the era in the header of an answer. It reads the era only when the answer begins, because a restore may
// happen while the request waits.
type eraWriter struct {
	http.ResponseWriter

	era *atomic.Int64
}

// WriteHeader writes the status and the header.
func (w eraWriter) WriteHeader(status int) {
	w.Header().Set(headerEra, strconv.FormatInt(w.era.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}
