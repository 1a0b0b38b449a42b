package bergamotclaim

import "sync"

// boundedMap is a map of limited size that evicts the oldest key when it is full.
type boundedMap[V any] struct {
	mu     sync.Mutex
	values map[string]V
	ring   []string // ring buffer of the keys in insertion order
	next   int
}

func newBoundedMap[V any](limit int) *boundedMap[V] {
	return &boundedMap[V]{values: map[string]V{}, ring: make([]string, limit)}
}

// getOrPut returns the value of key; if there is none, it stores v and returns it.
func (m *boundedMap[V]) getOrPut(key string, v V) V {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.values[key]; ok {
		return old
	}
	delete(m.values, m.ring[m.next])
	m.ring[m.next] = key
	m.next = (m.next + 1) % len(m.ring)
	m.values[key] = v
	return v
}

func (m *boundedMap[V]) has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.values[key]
	return ok
}
