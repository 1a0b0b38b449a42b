package bergamotrelay

// occupancy holds the suspects of this entry that wait for their answers at a process. If it crashes while only one does, that
// one is the likely cause.
type occupancy struct{ suspects []*trial }

// enter records that a suspect is sent to a process, where it waits until it is answered, leaves or enters another one. If
// only an empty one will do, it returns false for a process where another suspect waits.
func (t *trial) enter(process string, onlyEmpty bool) bool {
	q := t.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	t.leaveLocked()
	o := q.suspects[process]
	if o != nil && onlyEmpty {
		return false
	}
	if o == nil {
		o = &occupancy{}
		if q.suspects == nil {
			q.suspects = map[string]*occupancy{}
		}
		q.suspects[process] = o
	}
	o.suspects = append(o.suspects, t)
	t.process = process
	for _, other := range o.suspects {
		other.shared = len(o.suspects) > 1 || other.shared && other != t
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

func (t *trial) leaveLocked() {
	o := t.quarantine.suspects[t.process]
	if o == nil {
		return
	}
	kept := o.suspects[:0]
	for _, other := range o.suspects {
		if other != t {
			kept = append(kept, other)
		}
	}
	o.suspects = kept
	if len(kept) == 0 {
		delete(t.quarantine.suspects, t.process)
	}
	t.process = ""
}
