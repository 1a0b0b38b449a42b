package bergamotcluster

import (
	"context"
	"time"
)

const (
	// probeInterval is the time between two probes while the links of this entry are lost.
	probeInterval = 150 * time.Millisecond
	// probeTimeout is how long a probe may take; a connection within a region is established in about a millisecond.
	probeTimeout = 100 * time.Millisecond
)

// OwnLinks is what this entry knows of its own links to the runners.
type OwnLinks interface {
	AreLost() bool
	Probed(connected bool)
}

// LinkProber tries direct connections to runners, on which nothing is sent.
type LinkProber interface {
	Probe(ctx context.Context, address string) error
}

// LinkCheck is the controller that finds out when lost links to the runners work again. An entry without them neither holds the
// placement lease nor judges runners.
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
	if c.inFlight || !c.Links.AreLost() {
		return s.Now().Add(time.Minute) // the end of a probe and the loss of the links wake the loop
	}
	return c.nextProbe
}

// Reconcile tells the other controllers whether the links are lost, and returns the probe that is due.
func (c *LinkCheck) Reconcile(s *State) []Task {
	if lost := c.Links.AreLost(); lost != s.linksLost {
		s.setLinksLost(lost)
	}
	if !s.linksLost || c.inFlight || s.Now().Before(c.nextProbe) {
		return nil
	}
	c.nextProbe = s.Now().Add(probeInterval)
	instances := s.Fleet().Instances()
	if len(instances) == 0 {
		return nil
	}
	c.inFlight = true
	address := instances[c.Random(len(instances))].Address()
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		c.Links.Probed(c.Prober.Probe(ctx, address) == nil) // the error says no more than that the runner was not reached
		return EventFunc(func(*State) { c.inFlight = false })
	})}
}
