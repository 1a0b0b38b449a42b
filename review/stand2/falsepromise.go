package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	bookers      = 8
	bookingPause = 300 * time.Millisecond
	bookingTime  = 20 * time.Second
	greyFrom     = 5 * time.Second
	greyTime     = 6500 * time.Millisecond
)

var errNoFailure = errors.New("no request failed at the runner")

// promises are the statuses that say that a request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// booking is one booking of a caller, which sends it again if it was told that it has not run.
type booking struct {
	name  string
	tries []outcome
}

// falsePromise lets one runner of a plain service fail part of its requests after it has run them. No answer to a request that has run may say
// that it has not.
func falsePromise(record string, trouble bool) (err error) {
	s, err := newSite(record)
	if err != nil {
		return err
	}
	defer s.end()
	if err = s.store.put("op", "config", config(3)); err != nil {
		return err
	}
	var mu sync.Mutex
	runs := map[string]int{}
	s.onEvent = func(e event) {
		if e.What == "run" {
			s.note("runner %s: run %s", e.Runner, e.ID)
			mu.Lock()
			runs[e.ID]++
			mu.Unlock()
		}
	}
	runners, _, err := s.startRunners("app", "app", "app")
	if err != nil {
		return err
	}
	grey := runners[2]
	entries, err := s.startEntries(2, "/once/ready")
	if err != nil {
		return err
	}
	s.note("traffic starts")
	began := time.Now()
	var bookings []booking
	var callers sync.WaitGroup
	for n := range bookers {
		callers.Go(func() {
			c := newCaller(entries[n%len(entries)].front)
			for k := 0; time.Since(began) < bookingTime; k++ {
				b := s.book(c, fmt.Sprintf("%d-%d", n, k))
				mu.Lock()
				bookings = append(bookings, b)
				mu.Unlock()
				<-time.After(bookingPause)
			}
		})
	}
	<-time.After(greyFrom)
	if trouble {
		s.note("%s fails two requests in five", grey.name)
		if err = grey.tell("grey on"); err != nil {
			return err
		}
	}
	<-time.After(greyTime)
	if err = grey.tell("grey off"); err != nil {
		return err
	}
	callers.Wait()
	return s.judgePromises(bookings, runs, trouble)
}

// book sends a booking, and once more as a request of its own if the answer promises that it has not run and never will.
func (s *site) book(c *caller, name string) (b booking) {
	b.name = name
	for range 2 {
		o := c.send("/once/"+name, 1500*time.Millisecond)
		s.note("answered: booking %s as %s, status %d, stamp %q, complete %t", name, o.id, o.status, o.stamp, o.err == nil)
		b.tries = append(b.tries, o)
		if !slices.Contains(promises, o.status) {
			break
		}
	}
	return b
}

// judgePromises writes to the record which requests have run although their answers say that they have not.
func (s *site) judgePromises(bookings []booking, runs map[string]int, trouble bool) error {
	broken, twice, failed := 0, 0, 0
	for _, b := range bookings {
		ran := 0
		for _, o := range b.tries {
			ran += runs[o.id]
			if o.status != http.StatusOK {
				failed++
			}
			if slices.Contains(promises, o.status) && runs[o.id] > 0 {
				broken++
				s.note("BROKEN: %s (booking %s) was answered %d and has run", o.id, b.name, o.status)
			}
		}
		if ran > 1 {
			twice++
		}
	}
	s.note("%d bookings: %d answers were no success, %d of them say falsely that the request has not run; %d bookings were made twice", len(bookings), failed, broken, twice)
	switch {
	case broken > 0:
		return errBroken
	case trouble && failed == 0:
		return errNoFailure
	}
	return nil
}
