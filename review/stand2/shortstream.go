package main

import (
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	streamRunners = 6
	oddRunners    = 3 // of these, a share of 0.5, send some answers without a length
	streamCallers = 48
	oddFrom       = 6 * time.Second // from the start of traffic
	oddTime       = 5 * time.Second
	crashTime     = 4500 * time.Millisecond
	trafficTime   = 22 * time.Second
	crashAfter    = 10 // events of the answer at which the runner crashes
)

var errNoCrash = errors.New("no runner had a stream without a length at the right moment")

// shortStream lets a runner crash while it sends a stream without a length. The stream must go on elsewhere or break off; it must not end as
// complete before its last event.
func shortStream(record string, trouble bool) (err error) {
	s, err := newSite(record)
	if err != nil {
		return err
	}
	defer s.end()
	if err = s.store.put("op", "config", config(3)); err != nil {
		return err
	}
	crash := make(chan string, 1)
	s.onEvent = func(e event) {
		switch {
		case e.Unframed:
			s.note("runner %s: %s %s without a length, event %d", e.Runner, e.What, e.ID, e.Piece)
		case e.What == "run":
			s.note("runner %s: run %s", e.Runner, e.ID)
		}
		if e.What == "piece" && e.Piece >= crashAfter {
			select {
			case crash <- e.Runner:
			default: // one crash is enough
			}
		}
	}
	runners, addresses, err := s.startRunners(slices.Repeat([]string{"llm"}, streamRunners)...)
	if err != nil {
		return err
	}
	entries, err := s.startEntries(2, "/advice/1")
	if err != nil {
		return err
	}
	s.note("traffic starts")
	began := time.Now()
	var outcomes []outcome
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := range streamCallers {
		callers.Go(func() {
			for c := newCaller(entries[n%len(entries)].front); time.Since(began) < trafficTime; {
				o := c.send("/advice/1", 20*time.Second)
				s.note("answered: %s, status %d, %d events, complete %t", o.id, o.status, len(o.pieces), o.err == nil)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				if o.status != 200 {
					<-time.After(200 * time.Millisecond)
				}
			}
		})
	}
	<-time.After(oddFrom)
	for _, m := range runners[:oddRunners] {
		if err = m.tell("unframed on"); err != nil {
			return err
		}
	}
	crashed := -1
	select {
	case name := <-crash:
		crashed = slices.IndexFunc(runners, func(m *machine) bool { return m.name == name })
		if trouble {
			runners[crashed].kill()
			s.note("runner %s crashes", name)
		}
	case <-time.After(oddTime):
	}
	<-time.After(time.Until(began.Add(oddFrom + oddTime)))
	for n, m := range runners[:oddRunners] {
		if trouble && n == crashed {
			continue
		}
		if err = m.tell("unframed off"); err != nil {
			return err
		}
	}
	if trouble && crashed >= 0 {
		<-time.After(crashTime)
		if _, err = s.startRunner(runners[crashed].name+"b", "llm", addresses[crashed]); err != nil {
			return err
		}
	}
	callers.Wait()
	return judgeStreams(s, outcomes, crashed >= 0)
}

// judgeStreams writes what the callers have seen to the record.
func judgeStreams(s *site, outcomes []outcome, crashed bool) error {
	whole, failed, short := 0, 0, 0
	for _, o := range outcomes {
		switch {
		case o.isShort():
			short++
			s.note("BROKEN: the stream %s (stamp %s) ended as complete after %d of %d events", o.id, o.stamp, len(o.pieces), pieces)
		case o.status == 200 && o.err == nil:
			whole++
		default:
			failed++
			s.note("not served: %s, status %d, %d events, %v", o.id, o.status, len(o.pieces), o.err)
		}
	}
	s.note("%d requests: %d whole, %d refused or broken off, %d ended as complete before their last event", len(outcomes), whole, failed, short)
	switch {
	case short > 0:
		return errBroken
	case !crashed:
		return errNoCrash
	}
	return nil
}
