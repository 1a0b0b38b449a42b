package bergamotcontrol

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
)

// PeerSender sends a heartbeat to another entry and returns its reply.
type PeerSender interface {
	Send(ctx context.Context, to bergamotmember.Peer, m bergamotmember.Message) (reply bergamotmember.Message, err error)
}

// ErrBusy is returned to a peer when the inbox of the control loop is full.
var ErrBusy = errors.New("control loop is busy")

// reportPeriod is the time between two reports of this entry's own observations. Each report of Members iterates over
// all instances, which takes about 1 ms at 4,000 instances.
const reportPeriod = 500 * time.Millisecond

// Members is the controller that exchanges heartbeats with the other entries and applies the hints in them.
type Members struct {
	Node   *bergamotmember.Node
	Sender PeerSender
	Seeds  []bergamotmember.Peer          // from settings; entries of the instance list are added
	Demand func() []bergamotmember.Demand // returns the demand at this entry; may be nil
	Post   func(e Event) bool             // posts an event to the loop
	Count  func(name string)              // counts "peer.errors"

	nextReport  time.Time
	hintedNames map[string]bool
}

// Name returns "members".
func (c *Members) Name() string { return "members" }

// Reconcile reports the observations of this entry, sends the heartbeats that are due and applies the hints.
func (c *Members) Reconcile(s *State) (tasks []Task) {
	now := s.Now()
	if b := s.Bundle(); b != nil {
		c.Node.SetHead(bergamotmember.NewHead(b.Version(), b.Digest()))
	}
	if !now.Before(c.nextReport) {
		c.nextReport = now.Add(reportPeriod)
		c.reportTargets(s)
		if c.Demand != nil {
			c.Node.SetDemand(now, c.Demand())
		}
	}
	for _, send := range c.Node.Tick(now) {
		tasks = append(tasks, c.heartbeatTask(send))
	}
	p := c.Node.Snapshot(now)
	s.SetMembers(p)
	if v := p.Head().Version(); v > 0 {
		HeadHint(v).Apply(s)
	}
	c.applyHints(s, p)
	return tasks
}

// Next returns when the next heartbeat or report is due.
func (c *Members) Next(s *State) time.Time {
	heartbeat := s.Now().Add(c.Node.UntilTick(s.Now()))
	if c.nextReport.Before(heartbeat) {
		return c.nextReport
	}
	return heartbeat
}

// Heartbeat processes a heartbeat from an authenticated peer on the control goroutine and returns the reply. Its errors
// are ErrBusy, those of the node and those of ctx.
func (c *Members) Heartbeat(ctx context.Context, peer string, m bergamotmember.Message) (reply bergamotmember.Message, err error) {
	results := make(chan func() (bergamotmember.Message, error), 1)
	posted := c.Post(EventFunc(func(s *State) {
		reply, err := c.Node.Receive(s.Now(), peer, m)
		results <- func() (bergamotmember.Message, error) { return reply, err }
	}))
	if !posted {
		return reply, ErrBusy
	}
	select {
	case result := <-results:
		return result()
	case <-ctx.Done():
		return reply, ctx.Err()
	}
}

// ReportCrash tells the other entries the digest of a request that is confirmed to crash targets. It reports whether the
// inbox of the control loop had space.
func (c *Members) ReportCrash(digest string, data []byte, lifetime time.Duration) bool {
	return c.Post(EventFunc(func(s *State) { c.Node.ReportCrash(s.Now(), digest, data, lifetime) }))
}

func (c *Members) heartbeatTask(send bergamotmember.Heartbeat) Task {
	to := send.To()
	return NewTask(c.Name()+" "+to.Name(), func(ctx context.Context) Event {
		reply, err := c.Sender.Send(ctx, to, send.Message())
		return EventFunc(func(s *State) {
			if err == nil {
				err = c.Node.HandleReply(s.Now(), send.Message(), reply, to.Name())
			}
			if err != nil {
				c.Count("peer.errors")
				c.Node.HandleFailure(s.Now(), to.Name())
			}
		})
	})
}

// reportTargets updates the list of peers and reports the targets that this entry itself knows to be leaving or failed.
func (c *Members) reportTargets(s *State) {
	peers := append([]bergamotmember.Peer(nil), c.Seeds...)
	for _, name := range s.InstanceNames() {
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

// applyHints marks the instances that peers reported as leaving or dead, until the hint expires. If the instance answers
// a later probe of this entry, a hint that it is dead is ignored. A hint that it is leaving is not, since the list may
// say so before the instance knows.
func (c *Members) applyHints(s *State, p *bergamotmember.Snapshot) {
	current := map[string]bool{}
	for name, t := range p.TargetHints() {
		i, ok := s.Instance(name)
		if !ok || i.Joined().After(t.ReceivedAt()) || (t.State() == bergamotmember.Dead && i.Load().ReceivedAt().After(t.ReceivedAt())) {
			continue
		}
		current[name] = true
		setHinted(s, i, true)
	}
	for name := range c.hintedNames {
		if i, ok := s.Instance(name); ok && !current[name] {
			setHinted(s, i, false)
		}
	}
	c.hintedNames = current
}

func setHinted(s *State, i bergamotfleet.Instance, hinted bool) {
	if i.ReportedByPeer() == hinted {
		return
	}
	spec := i.Spec()
	spec.ReportedByPeer = hinted
	s.PutInstance(bergamotfleet.NewInstance(spec))
}
