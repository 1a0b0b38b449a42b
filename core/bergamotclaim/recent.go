package bergamotclaim

import "sync"

// recent is a map of bounded size that forgets the oldest entry when it is full.
type recent[V any] struct {
	mu    sync.Mutex
	items map[string]V
	order []string // ring of keys in the order of their arrival
	next  int
}

func newRecent[V any](limit int) *recent[V] {
	return &recent[V]{items: map[string]V{}, order: make([]string, limit)}
}

// getOrPut returns the value of key, which is v when there was none.
func (m *recent[V]) getOrPut(key string, v V) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.items[key]; ok {
		return old
	}
	delete(m.items, m.order[m.next])
	m.order[m.next] = key
	m.next = (m.next + 1) % len(m.order)
	m.items[key] = v
	return v
}

func (m *recent[V]) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.items[key]
	return ok
}
