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

// peerTimeout is the time without a reply after which a connection to a peer counts as dead.
const peerTimeout = 2 * time.Second

// peers exchanges state and bundle texts with the other entries; it is nil when the settings have no section for peers.
type peers struct {
	members      *bergamotcontrol.Members
	suspects     *bergamotcontrol.Suspects
	client       *bergamotpeer.Client
	server       *bergamotpeer.Server
	textExchange *textExchange
}

// newPeers opens the listener for other entries; it returns nil when the settings have no section for peers.
func (e *Entry) newPeers() (p *peers, err error) {
	s := e.Setting
	if !s.HasPeers() {
		return nil, nil
	}
	cfg, err := bergamotpeer.KeyFiles{Cert: s.PeerCertFile(), Key: s.PeerKeyFile(), CA: s.PeerCAFile()}.Load()
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
	p.members = &bergamotcontrol.Members{
		// Incarnations start at 1 without a clock: entries that remember a higher one from before a restart make this
		// one raise its own.
		Node: bergamotmember.NewNode(self, 1, rng), Sender: p.client, Seeds: seedPeers(s), Demand: e.demand,
		Post: func(event bergamotcontrol.Event) bool { return e.loop.Post(event) }, Count: e.metrics.Count,
	}
	p.suspects = &bergamotcontrol.Suspects{Ledger: e.suspects, Node: p.members.Node}
	p.textExchange = &textExchange{self: s.Name(), client: p.client, seedPeers: seedPeers(s), view: e.View, count: e.metrics.Count}
	p.server = &bergamotpeer.Server{Listener: l, TLS: cfg, Inbox: p.members, Texts: p.textExchange, Counter: e.metrics}
	return p, nil
}

// newBundleSource returns the source from which the entry reads the bundle in force.
func (e *Entry) newBundleSource() *bergamotrollout.Source {
	s := &bergamotrollout.Source{
		Table: e.clients.table, Objects: e.clients.objects, Trust: e.Setting.Trust(), Timeout: headTimeout,
	}
	if e.peers != nil {
		s.Peers = e.peers.textExchange
	}
	return s
}

// PeerAddress returns the address on which the entry listens for other entries, empty without peers.
func (e *Entry) PeerAddress() string {
	if e.peers == nil {
		return ""
	}
	return e.peers.server.Listener.Addr().String()
}

// addTo adds the server for other entries to the supervisor.
func (p *peers) addTo(root *suture.Supervisor) {
	if p != nil {
		root.Add(&component{name: "peers", run: p.server.Run})
	}
}

// close ends all connections to other entries.
func (p *peers) close() {
	if p != nil {
		p.client.Close()
	}
}

// closeListener closes the listener after Init failed with err and returns err joined with the error of closing.
func (p *peers) closeListener(err error) error {
	if p == nil {
		return err
	}
	return errors.Join(err, p.server.Listener.Close())
}
