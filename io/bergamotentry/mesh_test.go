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

// mesh is entries that know each other, each with its own way to the platform and its own list.
type mesh struct {
	*shop
	ca    *bergamotfake.Authority
	nodes []*node
}

// node is one entry; its faults hold only for its own requests.
type node struct {
	*bergamotentry.Entry
	name    string
	list    *bergamotfake.Instances
	table   bergamotfake.Faults
	objects bergamotfake.Faults
	weights bergamotfake.Faults
	gates   map[string]*gate // from this entry to others
	stop    func()
}

func newMesh() *mesh {
	ca, err := bergamotfake.NewAuthority(ginkgo.GinkgoT().TempDir())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return &mesh{shop: newShop(), ca: ca}
}

// peers returns the settings of an entry whose certificate ca signed and that trusts the authority in a file.
func peers(ca *bergamotfake.Authority, name, trusted string) string {
	cert, key, err := ca.Issue(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return fmt.Sprintf("[peers]\nlisten = 127.0.0.1:0\ncert = %s\nkey = %s\nca = %s\n", cert, key, trusted)
}

// add makes an entry known to all others; it does not run yet.
func (m *mesh) add(name string) *node { return m.addSigned(name, m.ca, m.nodes...) }

// addSigned makes an entry known to some others.
func (m *mesh) addSigned(name string, ca *bergamotfake.Authority, others ...*node) *node {
	n := &node{name: name, list: bergamotfake.NewInstances(), gates: map[string]*gate{}}
	mux := http.NewServeMux()
	mux.Handle("/table/", n.table.Wrap(m.platform.Table.Handler()))
	mux.Handle("/objects/", n.objects.Wrap(m.platform.Objects.Handler()))
	mux.Handle("/weights/", n.weights.Wrap(m.platform.Weights.Handler()))
	mux.Handle("/instances", n.list.Handler())
	server, err := bergamotfake.Listen("127.0.0.1:0", mux)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(server.Kill)
	n.Entry = m.newEntry(name, server.Address(), peers(ca, name, m.ca.CA()))
	for _, o := range others {
		n.meet(o.name, o.Peers())
		o.meet(name, n.Peers())
	}
	m.nodes = append(m.nodes, n)
	return n
}

// start runs more entries.
func (m *mesh) start(names ...string) (out []*node) {
	for _, name := range names {
		n := m.add(name)
		n.stop = launch(n.Entry)
		out = append(out, n)
	}
	return out
}

// meet puts another entry on the list of this one.
func (n *node) meet(name, address string) {
	n.gates[name] = newGate(address)
	n.put(bergamotlist.InstanceMessage{Name: name, Address: n.gates[name].Addr().String(), Role: "entry"})
}

func (n *node) put(i bergamotlist.InstanceMessage) {
	if i.State == "" {
		i.State = "live"
	}
	i.Centre, i.Kind = "tallinn", "cpu"
	n.list.Put(i)
}

// part cuts the links between n and all others, or restores them.
func (m *mesh) part(n *node, shut bool) {
	for _, o := range m.nodes {
		if n.gates[o.name] != nil {
			n.gates[o.name].set(shut)
			o.gates[n.name].set(shut)
		}
	}
}

// live returns how many entries count as live at n.
func (n *node) live() int { return n.View().Entries() }

func (n *node) version() int64 { return version(n.Entry) }

func (n *node) ready() int { return ready(n.Entry) }

// usable tells whether n gives new work to a target.
func (n *node) usable(target string) bool {
	i, ok := n.View().Fleet().Instance(target)
	return ok && i.Usable()
}

// gate passes connections on unless it is shut.
type gate struct {
	net.Listener
	mu    sync.Mutex
	shut  bool
	conns []net.Conn
}

func newGate(target string) *gate {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	g := &gate{Listener: l}
	ginkgo.DeferCleanup(func() {
		g.set(true)
		_ = l.Close()
	})
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil || !g.keep(in, out) {
				_ = in.Close()
				continue
			}
			go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
		}
	}()
	return g
}

func (g *gate) keep(conns ...net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		for _, c := range conns {
			_ = c.Close()
		}
		return false
	}
	g.conns = append(g.conns, conns...)
	return true
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut = shut
	if shut {
		for _, c := range g.conns {
			_ = c.Close()
		}
		g.conns = nil
	}
}
