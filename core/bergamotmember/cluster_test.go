package bergamotmember_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"bergamotspur/core/bergamotmember"
	"bergamotspur/io/bergamotpeer"
)

// messageOverhead is the number of bytes that a message costs besides its base64 text: 60 for JSON-RPC, 4 for the frame
// length, 22 for TLS, 52 for TCP and IP and 52 for the acknowledgement, with some reserve.
const messageOverhead = 230

// cluster runs the nodes of many members in virtual time. A heartbeat to a stopped or unreachable member fails at its
// sender.
type cluster struct {
	rng         *rand.Rand
	now         time.Time
	peers       []bergamotmember.Peer
	nodes       map[string]*bergamotmember.Node
	isConnected func(from, to string) bool
	isMeasuring bool
	churn       bool // every member but the first changes its demand about every 4 minutes, as often as unchanged demand is announced
	bytes       int64
}

func newCluster(seed uint64, count int) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), nodes: map[string]*bergamotmember.Node{},
		isConnected: func(string, string) bool { return true },
	}
	for n := range count {
		c.peers = append(c.peers, bergamotmember.NewPeer(fmt.Sprintf("entry-%03d", n), fmt.Sprintf("10.0.%d.%d:7", n/250, n%250)))
	}
	for _, p := range c.peers {
		c.start(p, 1)
	}
	return c
}

func (c *cluster) start(p bergamotmember.Peer, incarnation uint64) *bergamotmember.Node {
	n := bergamotmember.NewNode(p, incarnation, rand.New(rand.NewPCG(c.rng.Uint64(), 2)))
	n.SetPeers(c.peers)
	c.nodes[p.Name()] = n
	return n
}

func (c *cluster) name(n int) string                              { return c.peers[n].Name() }
func (c *cluster) node(n int) *bergamotmember.Node                { return c.nodes[c.name(n)] }
func (c *cluster) isInFirstRegion(name string, boundary int) bool { return name < c.name(boundary) }

// step advances the time by 0.1 s and exchanges the heartbeats that are due, in random order.
func (c *cluster) step() {
	c.now = c.now.Add(100 * time.Millisecond)
	if c.churn && c.rng.IntN(2400) < len(c.peers) {
		c.setDemand(1+c.rng.IntN(len(c.peers)-1), 1+uint32(c.rng.IntN(100)))
	}
	for _, k := range c.rng.Perm(len(c.peers)) {
		// Skips a member at random, so that the members do not tick in phase.
		if n, ok := c.nodes[c.name(k)]; ok && (n.UntilTick(c.now) == 0) && c.rng.IntN(2) == 0 {
			for _, s := range n.Tick(c.now) {
				c.exchange(c.name(k), n, s)
			}
		}
	}
}

func (c *cluster) exchange(from string, n *bergamotmember.Node, s bergamotmember.Heartbeat) {
	c.count(s.Message())
	to, ok := c.nodes[s.To().Name()]
	if !ok || !c.isConnected(from, s.To().Name()) {
		n.HandleFailure(c.now, s.To().Name())
		return
	}
	reply, err := to.Receive(c.now, from, s.Message())
	if err != nil {
		n.HandleFailure(c.now, s.To().Name())
		return
	}
	c.count(reply)
	if err = n.HandleReply(c.now, s.Message(), reply, s.To().Name()); err != nil {
		panic(err)
	}
}

func (c *cluster) count(m bergamotmember.Message) {
	if c.isMeasuring {
		c.bytes += int64((len(bergamotpeer.Encode(m))+2)/3*4 + messageOverhead)
	}
}

// run advances the time by d and returns the bytes per second that a member sent and received.
func (c *cluster) run(d time.Duration) float64 {
	c.bytes = 0
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
	return 2 * float64(c.bytes) / float64(len(c.peers)) / d.Seconds()
}

// waitUntil returns how long it takes until done holds for every running member; ok is false after maxWait.
func (c *cluster) waitUntil(maxWait time.Duration, done func(n *bergamotmember.Node) bool) (time.Duration, bool) {
	waiting := maps.Clone(c.nodes)
	for begin := c.now; c.now.Sub(begin) < maxWait; c.step() {
		maps.DeleteFunc(waiting, func(_ string, n *bergamotmember.Node) bool { return done(n) })
		if len(waiting) == 0 {
			return c.now.Sub(begin), true
		}
	}
	return maxWait, false
}
