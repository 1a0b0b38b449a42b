package bergamotcontrol

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
)

// PeerSender exchanges a heartbeat with another entry.
type PeerSender interface {
	Send(ctx context.Context, to bergamotmember.Peer, m bergamotmember.Message) (reply bergamotmember.Message, err error)
}

// ErrBusy is returned to a peer when the control loop has no room for its heartbeat.
var ErrBusy = errors.New("control loop is busy")

// surveyPeriod is the time between two passes over all instances, which cost about 1 ms at 4,000 instances.
const surveyPeriod = 500 * time.Millisecond

// Members is the controller that exchanges hints with the other entries and applies them.
type Members struct {
	Node   *bergamotmember.Node
	Sender PeerSender
	Seeds  []bergamotmember.Peer          // from settings; entries of the instance list are added
	Demand func() []bergamotmember.Demand // demand at this entry; nil for none
	Post   func(e Event) bool             // posts to the loop
	Count  func(name string)              // counts "peer.errors"

	next   time.Time
	hinted map[string]bool
}

// Name returns "members".
func (c *Members) Name() string { return "members" }

// Reconcile reports own observations, applies hints and sends the heartbeats that are due.
func (c *Members) Reconcile(s *State) (tasks []Task) {
	now := s.Now()
	if b := s.Bundle(); b != nil {
		c.Node.SetHead(bergamotmember.NewHead(b.Version(), b.Digest()))
	}
	if !now.Before(c.next) {
		c.next = now.Add(surveyPeriod)
		c.survey(s)
		if c.Demand != nil {
			c.Node.SetDemand(now, c.Demand())
		}
	}
	for _, send := range c.Node.Tick(now) {
		tasks = append(tasks, c.task(send))
	}
	p := c.Node.Picture(now)
	s.SetMembers(p)
	if v := p.Head().Version(); v > 0 {
		HeadHint(v).Apply(s)
	}
	c.hint(s, p)
	return tasks
}

// Next returns when the next heartbeat or survey is due.
func (c *Members) Next(s *State) time.Time {
	beat := s.Now().Add(c.Node.Wait(s.Now()))
	if c.next.Before(beat) {
		return c.next
	}
	return beat
}

// Heartbeat answers a heartbeat of an authenticated peer on the control goroutine.
func (c *Members) Heartbeat(ctx context.Context, peer string, m bergamotmember.Message) (reply bergamotmember.Message, err error) {
	done := make(chan func() (bergamotmember.Message, error), 1)
	posted := c.Post(EventFunc(func(s *State) {
		reply, err := c.Node.Receive(s.Now(), peer, m)
		done <- func() (bergamotmember.Message, error) { return reply, err }
	}))
	if !posted {
		return reply, ErrBusy
	}
	select {
	case result := <-done:
		return result()
	case <-ctx.Done():
		return reply, ctx.Err()
	}
}

// ReportCrash spreads a request, named by its digest, that was confirmed to crash targets. It tells whether the control
// loop had room.
func (c *Members) ReportCrash(digest string, data []byte, lifetime time.Duration) bool {
	return c.Post(EventFunc(func(s *State) { c.Node.ReportCrash(s.Now(), digest, data, lifetime) }))
}

func (c *Members) task(send bergamotmember.Send) Task {
	to := send.To()
	return NewTask(c.Name()+" "+to.Name(), func(ctx context.Context) Event {
		reply, err := c.Sender.Send(ctx, to, send.Message())
		return EventFunc(func(s *State) {
			if err == nil {
				err = c.Node.Answered(s.Now(), send.Message(), reply, to.Name())
			}
			if err != nil {
				c.Count("peer.errors")
				c.Node.Failed(s.Now(), to.Name())
			}
		})
	})
}

// survey learns the peers and reports the targets that this entry itself saw leave or fail.
func (c *Members) survey(s *State) {
	peers := append([]bergamotmember.Peer(nil), c.Seeds...)
	for _, name := range s.Instances() {
		i, _ := s.Instance(name)
		switch {
		case i.Role() == bergamotfleet.RoleEntry:
			peers = append(peers, bergamotmember.NewPeer(name, i.Address()))
		case i.Leaving():
			c.Node.ReportTarget(s.Now(), name, bergamotmember.Leaving)
		case i.Failed():
			c.Node.ReportTarget(s.Now(), name, bergamotmember.Dead)
		}
	}
	c.Node.SetPeers(peers)
}

// hint marks the instances that peers saw leave or die. The mark ends with the hint. An own probe that the instance
// answered later corrects a hint that it is dead; it does not correct one that it leaves, since an instance may not
// know yet what the list already says.
func (c *Members) hint(s *State, p *bergamotmember.Picture) {
	current := map[string]bool{}
	for name, t := range p.Targets() {
		i, ok := s.Instance(name)
		if !ok || i.Joined().After(t.At()) || (t.State() == bergamotmember.Dead && i.Load().ReceivedAt().After(t.At())) {
			continue
		}
		current[name] = true
		mark(s, i, true)
	}
	for name := range c.hinted {
		if i, ok := s.Instance(name); ok && !current[name] {
			mark(s, i, false)
		}
	}
	c.hinted = current
}

func mark(s *State, i bergamotfleet.Instance, hinted bool) {
	if i.ReportedByPeer() == hinted {
		return
	}
	spec := i.Spec()
	spec.ReportedByPeer = hinted
	s.PutInstance(bergamotfleet.NewInstance(spec))
}
