package bergamotengine_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotwire"
)

// meter is a listener that counts its connections and their bytes in both directions.
type meter struct {
	net.Listener
	conns, bytes atomic.Int64
}

func (m *meter) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	m.conns.Add(1)
	return &meteredConn{Conn: c, meter: m}, err
}

type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// newRunner starts a server that replies to each request with report, and returns its meter and address.
func newRunner(tb testing.TB, report any) (*meter, string) {
	tb.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		bergamotwire.Write(w, http.StatusOK, report)
	}))
	m := &meter{Listener: s.Listener}
	s.Listener = m
	s.Start()
	tb.Cleanup(s.Close)
	return m, m.Addr().String()
}

// runnerReport holds one range of layers with two adapters.
var runnerReport = bergamotengine.ReportMessage{Running: 12, Queued: 3, Holdings: []bergamotengine.HoldingMessage{
	{Model: "care-70b", Version: "2", From: 16, To: 32, Adapters: []string{"boards", "knives"}},
}}

// Guards against a probe of more than 400 bytes, with which the 21 probes/s of a fleet of the target size would take
// more than 8.4 of the 20 KB/s of a node, and against a new connection for each probe of a small fleet.
func TestBytesOfProbe(t *testing.T) {
	const probes = 20
	m, address := newRunner(t, runnerReport)
	c := bergamotengine.NewClient()
	defer c.Close()
	for range probes {
		if _, err := c.Probe(context.Background(), address); err != nil {
			t.Fatal(err)
		}
	}
	if n := m.bytes.Load() / probes; n > 400 {
		t.Errorf("a probe takes %d bytes, at most 400 are allowed", n)
	}
	if n := m.conns.Load(); n != 1 {
		t.Errorf("%d connections were opened, 1 is enough", n)
	}
}

// Guards against a faulty engine whose report fills the memory of every entry.
func TestProbeOfAnEndlessReport(t *testing.T) {
	_, address := newRunner(t, strings.Repeat("x", 1<<20))
	c := bergamotengine.NewClient()
	defer c.Close()
	if _, err := c.Probe(context.Background(), address); err == nil {
		t.Error("a report of 1 MB was accepted")
	}
}

// BenchmarkProbe measures a probe over loopback.
func BenchmarkProbe(b *testing.B) {
	m, address := newRunner(b, runnerReport)
	c := bergamotengine.NewClient()
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Probe(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(m.bytes.Load())/float64(b.N), "wire-B/probe")
}
