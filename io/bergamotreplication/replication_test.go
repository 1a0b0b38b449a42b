package bergamotreplication_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotload"
	"bergamotspur/core/bergamotreplica"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotreplication"
)

// source answers each query with a fixed reply and records what it was asked.
type source struct {
	reply bergamotreplica.Reply
	peer  bergamotreplica.Peer
	query bergamotreplica.Query
}

func (s *source) Answer(_ context.Context, peer bergamotreplica.Peer, q bergamotreplica.Query) bergamotreplica.Reply {
	s.peer, s.query = peer, q
	return s.reply
}

type exchangeCase struct {
	reply bergamotreplica.Reply
	err   string // part of the error, empty for none
}

var _ = ginkgo.Describe("a query to another entry", func() {
	change := bergamotstore.NewChange(bergamotstore.NewRow("k", 7, []byte{0, 255}), false)
	deletion := bergamotstore.NewChange(bergamotstore.NewRow("d", 8, nil), true)
	update := bergamotreplica.NewUpdate([]bergamotstore.Change{change, deletion}, true, 8, 3*time.Second)
	// Guards against fields that are lost on the way, and against the reply of an entry that has taken over the address of
	// the one that was asked.
	bergamottest.Cases(map[string]exchangeCase{
		"returns all fields":               {reply: bergamotreplica.NewReply(update, []string{"hub"}, 5, true)},
		"returns whom to ask instead":      {reply: bergamotreplica.NewRedirect([]bergamotreplica.Peer{bergamotreplica.NewPeer("o", "o:1")})},
		"fails when another entry answers": {reply: bergamotreplica.NewReply(update, []string{"other"}, 5, false), err: "other answers"},
		"fails when the path has no names": {reply: bergamotreplica.NewReply(update, []string{"", "hub"}, 5, false), err: "without a name"},
	}, func(c exchangeCase) {
		s := &source{reply: c.reply}
		server := httptest.NewServer(bergamotreplication.NewHandler(s, nil, nil))
		defer server.Close()
		q := bergamotreplica.NewQuery("me", "t", 6, 2*time.Second, time.Minute, 3)
		hub := bergamotreplica.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
		self := bergamotreplica.NewPeer("me", "me:1")
		got, err := bergamotreplication.NewClient().Ask(context.Background(), hub, self, q)
		gomega.Expect(s.peer).To(gomega.Equal(self))
		gomega.Expect(s.query).To(gomega.Equal(bergamotreplica.NewQuery("me", "t", 6, 2*time.Second, bergamotreplica.MaxWait, 3)))
		if c.err != "" {
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.err)))
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal(c.reply))
	})
})

// loadSource answers each query with the same report and records what it was asked.
type loadSource struct {
	version int64
	own     bool
	wait    time.Duration
}

func (s *loadSource) Answer(_ context.Context, version int64, own bool, wait time.Duration) ([]bergamotload.Report, int64) {
	s.version, s.own, s.wait = version, own, wait
	return []bergamotload.Report{bergamotload.NewReport("r", 700, time.Hour)}, 9
}

var _ = ginkgo.Describe("a query for reports", func() {
	// Guards against fields that are lost on the way.
	ginkgo.It("returns all fields", func() {
		s := &loadSource{}
		server := httptest.NewServer(bergamotreplication.NewHandler(nil, s, nil))
		defer server.Close()
		hub := bergamotreplica.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
		reports, version, err := bergamotreplication.NewClient().Reports(context.Background(), hub, 4, true, time.Second)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(*s).To(gomega.Equal(loadSource{version: 4, own: true, wait: time.Second}))
		gomega.Expect(reports).To(gomega.Equal([]bergamotload.Report{bergamotload.NewReport("r", 700, time.Hour)}))
		gomega.Expect(version).To(gomega.Equal(int64(9)))
	})
})

// lender lends each retry.
type lender struct {
	service string
	share   float64
}

func (l *lender) Lend(service string, share float64) bool {
	l.service, l.share = service, share
	return true
}

var _ = ginkgo.Describe("a query for a retry", func() {
	// Guards against fields that are lost on the way.
	ginkgo.It("returns whether it is lent", func() {
		l := &lender{}
		server := httptest.NewServer(bergamotreplication.NewHandler(nil, nil, l))
		defer server.Close()
		hub := bergamotreplica.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
		lent, err := bergamotreplication.NewClient().Borrow(context.Background(), hub, "llm", 0.7)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(lent).To(gomega.BeTrue())
		gomega.Expect(*l).To(gomega.Equal(lender{service: "llm", share: 0.7}))
	})
})
