package bergamotentry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
)

// mesh is a set of entries that know each other, each with its own connection to the platform and its own instance list.
type mesh struct {
	*testPlatform
	ca    *bergamotfake.Authority
	nodes []*node
}

// node is one entry; its faults affect only its own requests.
type node struct {
	*bergamotentry.Entry
	name    string
	list    *bergamotfake.Instances
	table   bergamotfake.Faults
	objects bergamotfake.Faults
	weights bergamotfake.Faults
	links   map[string]*link // from this entry to others
	stop    func()
}

func newMesh() *mesh {
	ca, err := bergamotfake.NewAuthority(ginkgo.GinkgoT().TempDir())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return &mesh{testPlatform: newTestPlatform(), ca: ca}
}

// peerSettings returns the section for peers of an entry with a certificate from ca that trusts the authority in a file.
func peerSettings(ca *bergamotfake.Authority, name, trusted string) string {
	cert, key, err := ca.Issue(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return fmt.Sprintf("[peers]\nlisten = 127.0.0.1:0\ncert = %s\nkey = %s\nca = %s\n", cert, key, trusted)
}

// add returns an entry that does not run yet and that knows all others.
func (m *mesh) add(name string) *node { return m.addSigned(name, m.ca, m.nodes...) }

// addSigned returns an entry that does not run yet, has a certificate from ca and knows the given others, as they know it.
func (m *mesh) addSigned(name string, ca *bergamotfake.Authority, others ...*node) *node {
	n := &node{name: name, list: bergamotfake.NewInstances(), links: map[string]*link{}}
	mux := http.NewServeMux()
	mux.Handle("/table/", n.table.Wrap(m.platform.Table.Handler()))
	mux.Handle("/objects/", n.objects.Wrap(m.platform.Objects.Handler()))
	mux.Handle("/weights/", n.weights.Wrap(m.platform.Weights.Handler()))
	mux.Handle("/instances", n.list.Handler())
	server, err := bergamotfake.Listen("127.0.0.1:0", mux)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(server.Kill)
	n.Entry = m.newEntry(name, server.Address(), peerSettings(ca, name, m.ca.CA()))
	for _, o := range others {
		n.addPeer(o.name, o.PeerAddress())
		o.addPeer(name, n.PeerAddress())
	}
	m.nodes = append(m.nodes, n)
	return n
}

// start adds and runs entries.
func (m *mesh) start(names ...string) (out []*node) {
	for _, name := range names {
		n := m.add(name)
		n.stop = runInBackground(n.Entry)
		out = append(out, n)
	}
	return out
}

// addPeer puts another entry on the instance list of this one.
func (n *node) addPeer(name, address string) {
	n.links[name] = newLink(address)
	n.put(bergamotlist.InstanceMessage{Name: name, Address: n.links[name].Addr().String(), Role: "entry"})
}

func (n *node) put(i bergamotlist.InstanceMessage) {
	if i.State == "" {
		i.State = "live"
	}
	i.Centre, i.Kind = "tallinn", "cpu"
	n.list.Put(i)
}

// setPartitioned cuts the links between n and all others, or restores them.
func (m *mesh) setPartitioned(n *node, cut bool) {
	for _, o := range m.nodes {
		if n.links[o.name] != nil {
			n.links[o.name].setCut(cut)
			o.links[n.name].setCut(cut)
		}
	}
}

// liveEntries returns the number of entries that n considers live, itself included.
func (n *node) liveEntries() int { return n.View().EntryCount() }

func (n *node) bundleVersion() int64 { return bundleVersion(n.Entry) }

func (n *node) readyStatus() int { return readyStatus(n.Entry) }

// isUsable reports whether n sends new requests to a target.
func (n *node) isUsable(target string) bool {
	i, ok := n.View().Fleet().Instance(target)
	return ok && i.Usable()
}

// link is a TCP proxy to one entry; while it is cut, it closes all connections.
type link struct {
	net.Listener
	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newLink(target string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	g := &link{Listener: l}
	ginkgo.DeferCleanup(func() {
		g.setCut(true)
		_ = l.Close()
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil || !g.track(in, out) {
				_ = in.Close()
				continue
			}
			go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
		}
	}()
	return g
}

func (g *link) track(conns ...net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	g.conns = append(g.conns, conns...)
	return true
}

func (g *link) setCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
	if cut {
		for _, c := range g.conns {
			_ = c.Close()
		}
		g.conns = nil
	}
}
