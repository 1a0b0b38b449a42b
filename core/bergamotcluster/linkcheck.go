package bergamotcluster

import (
	"context"
	"time"
)

const (
	// probeInterval is the time between two probes while the links of this entry are lost, or may be.
	probeInterval = 150 * time.Millisecond
	// probeTimeout is how long a probe may take; a connection within a region is established in about a millisecond.
	probeTimeout = 100 * time.Millisecond
)

// OwnLinks is what this entry knows of its own links to the runners.
type OwnLinks interface {
	AreLost() bool
	Probed(connected bool)
	// DoubtfulAt returns from when on the links are lost or may be: several runners were not reached, and none since.
	DoubtfulAt() (at time.Time, ok bool)
	IsMissed(address string) bool // the runner is one of those
	Connected(address string)
}

// LinkProber tries direct connections to runners, on which nothing is sent.
type LinkProber interface {
	Probe(ctx context.Context, address string) error
}

// LinkCheck is the controller that finds out when lost links to the runners work again, and whether they do when runners are not
// reached: an entry without requests connects to no others meanwhile. An entry without links neither holds the placement lease nor
// judges runners.
type LinkCheck struct {
	Links  OwnLinks
	Prober LinkProber
	Random func(n int) int // returns a number from 0 to n-1

	nextProbe time.Time
	inFlight  bool
}

// Name returns "links".
func (c *LinkCheck) Name() string { return "links" }

// Next returns when the next probe is due.
func (c *LinkCheck) Next(s *State) time.Time {
	at, doubtful := c.Links.DoubtfulAt()
	if c.inFlight || !doubtful {
		return s.Now().Add(time.Minute) // the end of a probe, and the begin of a doubt, wake the loop
	}
	if at.After(c.nextProbe) {
		return at
	}
	return c.nextProbe
}

// Reconcile tells the other controllers whether the links are lost, and returns the probe that is due.
func (c *LinkCheck) Reconcile(s *State) []Task {
	if lost := c.Links.AreLost(); lost != s.linksLost {
		s.setLinksLost(lost)
	}
	lost := s.linksLost
	if at, doubtful := c.Links.DoubtfulAt(); !doubtful || s.Now().Before(at) || c.inFlight || s.Now().Before(c.nextProbe) {
		return nil
	}
	c.nextProbe = s.Now().Add(probeInterval)
	address, ok := c.choose(s, lost)
	if !ok {
		return nil
	}
	c.inFlight = true
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		connected := c.Prober.Probe(ctx, address) == nil // the error says no more than that the runner was not reached
		switch {
		case lost:
			c.Links.Probed(connected)
		case connected:
			c.Links.Connected(address)
		}
		return EventFunc(func(*State) { c.inFlight = false })
	})}
}

// choose returns the address of a runner to probe. One that is known to have failed says nothing about links that are not lost.
func (c *LinkCheck) choose(s *State, lost bool) (address string, ok bool) {
	var addresses []string
	for _, i := range s.Fleet().Instances() {
		if lost || !i.Failed() && !c.Links.IsMissed(i.Address()) {
			addresses = append(addresses, i.Address())
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[c.Random(len(addresses))], true
}
