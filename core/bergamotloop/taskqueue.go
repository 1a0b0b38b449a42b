package bergamotloop

// taskQueue starts tasks, each name once at a time and at most maxTasks in all. It drops none but those whose name is in
// flight or waits: a controller that has handed off a task waits for its event.
type taskQueue[S any] struct {
	start    func(t Task[S])
	names    map[string]bool // in flight or waiting
	waiting  []Task[S]       // in the order in which they were added
	inFlight int
}

// add starts a task, at once or when another one has ended.
func (q *taskQueue[S]) add(t Task[S]) {
	if q.names[t.name] {
		return
	}
	q.names[t.name] = true
	q.waiting = append(q.waiting, t)
	q.startWaiting()
}

// finish records that a task has ended.
func (q *taskQueue[S]) finish(name string) {
	delete(q.names, name)
	q.inFlight--
	q.startWaiting()
}

func (q *taskQueue[S]) startWaiting() {
	for len(q.waiting) > 0 && q.inFlight < maxTasks {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		q.inFlight++
		q.start(t)
	}
}
