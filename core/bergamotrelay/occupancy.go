package bergamotrelay

import "slices"

// enter records that a suspect is sent to a process, where it waits until it is answered, leaves or enters another one. If
// only an empty one will do, it returns false for a process where another suspect of this entry waits: a crash would not
// tell which of them is the cause.
func (t *trial) enter(process string, onlyEmpty bool) bool {
	q := t.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	t.leaveLocked()
	if len(q.suspects[process]) > 0 && onlyEmpty {
		return false
	}
	if q.suspects == nil {
		q.suspects = map[string][]*trial{}
	}
	q.suspects[process] = append(q.suspects[process], t)
	t.process, t.shared = process, false
	if len(q.suspects[process]) > 1 {
		for _, other := range q.suspects[process] {
			other.shared = true
		}
	}
	return true
}

// isAlone reports whether the suspect is the only one that has waited at a process since it was sent there.
func (t *trial) isAlone(process string) bool {
	t.quarantine.mu.Lock()
	defer t.quarantine.mu.Unlock()
	return t.process == process && !t.shared
}

// leave records that the suspect waits no longer.
func (t *trial) leave() {
	t.quarantine.mu.Lock()
	defer t.quarantine.mu.Unlock()
	t.leaveLocked()
}

// leaveLocked is leave for a caller that holds the lock of the quarantine.
func (t *trial) leaveLocked() {
	if t.process == "" {
		return
	}
	suspects := t.quarantine.suspects
	suspects[t.process] = slices.DeleteFunc(suspects[t.process], func(other *trial) bool { return other == t })
	if len(suspects[t.process]) == 0 {
		delete(suspects, t.process)
	}
	t.process = ""
}
