package bergamotentry

import (
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/thejerf/suture/v4"

	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotmember"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/io/bergamotpeer"
)

// peerTimeout is the time after which a connection to a peer without a reply counts as dead.
const peerTimeout = 2 * time.Second

// peers is the membership of an entry; nil when the settings name no peers.
type peers struct {
	controller *bergamotcontrol.Members
	suspects   *bergamotcontrol.Suspects
	client     *bergamotpeer.Client
	server     *bergamotpeer.Server
	texts      *texts
}

// newPeers opens the listener for other entries.
func (e *Entry) newPeers() (p *peers, err error) {
	s := e.Setting
	if !s.HasPeers() {
		return nil, nil
	}
	cfg, err := bergamotpeer.Keys{Cert: s.PeerCertFile(), Key: s.PeerKeyFile(), CA: s.PeerCAFile()}.Load()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", s.PeerAddress())
	if err != nil {
		return nil, err
	}
	p = &peers{client: &bergamotpeer.Client{TLS: cfg, Timeout: peerTimeout}}
	self := bergamotmember.NewPeer(s.Name(), l.Addr().String())
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.controller = &bergamotcontrol.Members{
		// Others raise a first incarnation that they have seen before, so that no clock is needed.
		Node: bergamotmember.NewNode(self, 1, rng), Sender: p.client, Seeds: seeds(s), Demand: e.demand,
		Post: func(event bergamotcontrol.Event) bool { return e.loop.Post(event) }, Count: e.metrics.Count,
	}
	p.suspects = &bergamotcontrol.Suspects{Ledger: e.suspects, Node: p.controller.Node}
	p.texts = &texts{self: s.Name(), client: p.client, seeds: seeds(s), view: e.View, count: e.metrics.Count}
	p.server = &bergamotpeer.Server{Listener: l, TLS: cfg, Inbox: p.controller, Texts: p.texts, Counter: e.metrics}
	return p, nil
}

// source returns where the entry reads the bundle in force.
func (e *Entry) source() *bergamotrollout.Source {
	s := &bergamotrollout.Source{
		Table: e.adapters.table, Objects: e.adapters.objects, Trust: e.Setting.Trust(), Timeout: headTimeout,
	}
	if e.peers != nil {
		s.Peers = e.peers.texts
	}
	return s
}

// Peers returns the address for other entries, empty when there are none.
func (e *Entry) Peers() string {
	if e.peers == nil {
		return ""
	}
	return e.peers.server.Listener.Addr().String()
}

// serve adds the listener to the supervisor.
func (p *peers) serve(root *suture.Supervisor) {
	if p != nil {
		root.Add(&service{name: "peers", run: p.server.Run})
	}
}

// close ends all connections to other entries.
func (p *peers) close() {
	if p != nil {
		p.client.Close()
	}
}

// abandon closes the listener of an entry that does not start.
func (p *peers) abandon(err error) error {
	if p == nil {
		return err
	}
	return errors.Join(err, p.server.Listener.Close())
}
