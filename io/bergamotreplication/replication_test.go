package bergamotreplication_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotdetour"
	"bergamotspur/core/bergamotload"
	"bergamotspur/core/bergamotmirror"
	"bergamotspur/core/bergamotrate"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotreplication"
)

// source answers each query with a fixed reply and records what it was asked.
type source struct {
	reply bergamotmirror.Reply
	peer  bergamotmirror.Peer
	query bergamotmirror.Query
}

func (s *source) Answer(_ context.Context, peer bergamotmirror.Peer, q bergamotmirror.Query) bergamotmirror.Reply {
	s.peer, s.query = peer, q
	return s.reply
}

type exchangeCase struct {
	reply bergamotmirror.Reply
	err   string // part of the error, empty for none
}

var _ = ginkgo.Describe("a query to another entry", func() {
	change := bergamotstore.NewChange(bergamotstore.NewRow("k", 7, []byte{0, 255}), false)
	deletion := bergamotstore.NewChange(bergamotstore.NewRow("d", 8, nil), true)
	update := bergamotmirror.NewUpdate([]bergamotstore.Change{change, deletion}, true, bergamotstore.NewPosition(2, 8), 3*time.Second)
	// Guards against fields that are lost on the way, and against the reply of an entry that has taken over the address of
	// the one that was asked.
	bergamottest.Cases(map[string]exchangeCase{
		"returns all fields":               {reply: bergamotmirror.NewReply(update, []string{"hub"}, 5, true)},
		"returns whom to ask instead":      {reply: bergamotmirror.NewRedirect([]bergamotmirror.Peer{bergamotmirror.NewPeer("o", "o:1")})},
		"fails when another entry answers": {reply: bergamotmirror.NewReply(update, []string{"other"}, 5, false), err: "other answers"},
		"fails when the path has no names": {reply: bergamotmirror.NewReply(update, []string{"", "hub"}, 5, false), err: "without a name"},
	}, func(c exchangeCase) {
		s := &source{reply: c.reply}
		server := httptest.NewServer(bergamotreplication.NewHandler(s, nil, nil, nil))
		defer server.Close()
		q := bergamotmirror.NewQuery("me", "t", bergamotstore.NewPosition(1, 6), 2*time.Second, time.Minute, 3)
		hub := bergamotmirror.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
		self := bergamotmirror.NewPeer("me", "me:1")
		got, err := bergamotreplication.NewClient().Ask(context.Background(), hub, self, q)
		gomega.Expect(s.peer).To(gomega.Equal(self))
		gomega.Expect(s.query).To(gomega.Equal(bergamotmirror.NewQuery("me", "t", bergamotstore.NewPosition(1, 6), 2*time.Second, bergamotmirror.MaxWait, 3)))
		if c.err != "" {
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.err)))
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal(c.reply))
	})
})

// tableRow returns a row as runners write it.
func tableRow(n int) bergamotstore.Change {
	value := fmt.Sprintf(`{"service":"llm","address":"10.%d.64.%d:8104","zone":"a","slots":192,"state":"ready","born":%d,"layers":{"from":%d,"target":80}}`,
		n%7, n%251, 1796400000000+n*7919, n%79)
	return bergamotstore.NewChange(bergamotstore.NewRow(fmt.Sprintf("i-%010x", n*2654435761), int64(n+1), []byte(value)), false)
}

var _ = ginkgo.Describe("a whole table of 3,100 runners", func() {
	// Guards against entries that are not ready for 30 s after all 300 were killed, because 16 of them read 1.6 MB each
	// over the link of one machine, which carries 50 Mbit/s.
	ginkgo.It("arrives complete, in half a second at 16 entries", func() {
		var rows []bergamotstore.Change
		for n := range 3100 {
			rows = append(rows, tableRow(n))
		}
		binary := bergamotstore.NewChange(bergamotstore.NewRow("other", 1, []byte{0xff}), false)
		u := bergamotmirror.NewUpdate(append(rows, binary), true, bergamotstore.NewPosition(1, 4000), time.Hour)
		want := bergamotmirror.NewReply(u, []string{"hub"}, 5, false)
		sent := int64(0)
		handler := bergamotreplication.NewHandler(&source{reply: want}, nil, nil, nil)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			handler.ServeHTTP(&countingWriter{ResponseWriter: w, n: &sent}, r)
		}))
		defer server.Close()
		hub := bergamotmirror.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
		for range 2 { // the second time from what was kept
			got, err := bergamotreplication.NewClient().Ask(context.Background(), hub, hub, bergamotmirror.NewQuery("me", "t", bergamotstore.Position{}, 0, 0, 1))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(got).To(gomega.Equal(want))
		}
		gomega.Expect(sent/2*16).To(gomega.BeNumerically("<=", 50e6/8/2), "bytes for 16 entries in half a second")
	})
})

var _ = ginkgo.Describe("a whole table after a restore of the store", func() {
	// Guards against the rows of the lost era in an answer, because the new era has given their version out again.
	ginkgo.It("is not the one that was packed for the same version before", func() {
		rows := func(value string) (out []bergamotstore.Change) {
			for n := range 100 {
				out = append(out, bergamotstore.NewChange(bergamotstore.NewRow(fmt.Sprint(n), 1, []byte(value)), false))
			}
			return out
		}
		s := &source{}
		server := httptest.NewServer(bergamotreplication.NewHandler(s, nil, nil, nil))
		defer server.Close()
		hub := bergamotmirror.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
		for era, value := range []string{"of the lost era", "of the new era"} {
			u := bergamotmirror.NewUpdate(rows(value), true, bergamotstore.NewPosition(int64(era+1), 7), time.Hour)
			s.reply = bergamotmirror.NewReply(u, []string{"hub"}, 5, false)
			got, err := bergamotreplication.NewClient().Ask(context.Background(), hub, hub, bergamotmirror.NewQuery("me", "t", bergamotstore.Position{}, 0, 0, 1))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(got).To(gomega.Equal(s.reply))
		}
	})
})

type bodyCase struct {
	body string
	want bergamotstore.Position
}

var _ = ginkgo.Describe("the query of another build", func() {
	// Guards against a query of a build without eras that counts as one of the first era.
	bergamottest.Cases(map[string]bodyCase{
		"has no era if it names none": {`{"entry":"old","table":"t","version":7}`, bergamotstore.NewPosition(0, 7)},
		"has the era that it names":   {`{"entry":"new","table":"t","version":7,"era":3}`, bergamotstore.NewPosition(3, 7)},
	}, func(c bodyCase) {
		s := &source{reply: bergamotmirror.NewReply(bergamotmirror.NewUpdate(nil, false, bergamotstore.NewPosition(0, 7), 0), []string{"hub"}, 1, false)}
		w := httptest.NewRecorder()
		bergamotreplication.NewHandler(s, nil, nil, nil).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/follow", strings.NewReader(c.body)))
		gomega.Expect(w.Code).To(gomega.Equal(http.StatusOK))
		gomega.Expect(s.query.Position()).To(gomega.Equal(c.want))
		gomega.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("era"))
	})
})

// countingWriter counts the bytes of answers.
type countingWriter struct {
	http.ResponseWriter
	n *int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	*w.n += int64(len(p))
	return w.ResponseWriter.Write(p)
}

// loadSource gives each query the same answer and records the query.
type loadSource struct{ query bergamotload.Query }

var wantNews = bergamotload.News{
	Reports: []bergamotload.Report{bergamotload.NewReport("r", 700, time.Hour)}, ReportVersion: 9, LimitVersion: 3,
	Limits: []bergamotrate.Limit{bergamotrate.NewLimit("r@1", 0.5, time.Hour), bergamotrate.NewEnd("r@2", time.Hour)},
}

func (s *loadSource) Answer(_ context.Context, q bergamotload.Query) bergamotload.News {
	s.query = q
	return wantNews
}

// permitSource gives each query one permit less than it wants, or fails.
type permitSource struct {
	wants []bergamotrate.Want
	hops  int
	err   error
}

func (s *permitSource) Answer(_ context.Context, wants []bergamotrate.Want, hops int) (bergamotrate.Permits, error) {
	s.wants, s.hops = wants, hops
	return bergamotrate.Permits{"r@1": wants[0].Number() - 1}, s.err
}

var _ = ginkgo.Describe("a query about runners", func() {
	peer := func(h http.Handler) bergamotmirror.Peer {
		server := httptest.NewServer(h)
		ginkgo.DeferCleanup(server.Close)
		return bergamotmirror.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
	}
	// Guards against fields that are lost on the way.
	ginkgo.It("returns all fields of reports and limits", func() {
		s, q := &loadSource{}, bergamotload.Query{Reports: 4, Limits: 5, Own: true, Wait: time.Second}
		news, err := bergamotreplication.NewClient().News(context.Background(), peer(bergamotreplication.NewHandler(nil, s, nil, nil)), q)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.query).To(gomega.Equal(q))
		gomega.Expect(news).To(gomega.Equal(wantNews))
	})

	// Guards against fields that are lost on the way, and against an owner that is not reached and looks like one without permits.
	ginkgo.It("returns the permits that were given out, or fails", func() {
		s := &permitSource{}
		to := peer(bergamotreplication.NewHandler(nil, nil, nil, s))
		wants := []bergamotrate.Want{bergamotrate.NewWant(bergamotrate.NewLimit("r@1", 0.5, time.Hour), 3), bergamotrate.NewWant(bergamotrate.NewEnd("r@2", time.Hour), 0)}
		given, err := bergamotreplication.NewClient().Permits(context.Background(), to, wants, 2)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(given).To(gomega.Equal(bergamotrate.Permits{"r@1": 2}))
		gomega.Expect(s.wants).To(gomega.Equal(wants))
		gomega.Expect(s.hops).To(gomega.Equal(2))
		s.err = bergamotrate.ErrNoOwner
		_, err = bergamotreplication.NewClient().Permits(context.Background(), to, wants, 2)
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("503")))
	})

	// Guards against entries of the build before limits that cannot be asked, and against replies with fields of a later build.
	ginkgo.It("is understood by other builds", func() {
		var in map[string]any
		to := peer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			gomega.Expect(json.NewDecoder(r.Body).Decode(&in)).To(gomega.Succeed())
			_, _ = w.Write([]byte(`{"version":9,"reports":[{"runner":"r","used":700,"time":3600000000000}],"later":{"a":[1]}}`))
		}))
		news, err := bergamotreplication.NewClient().News(context.Background(), to, bergamotload.Query{Reports: 4, Wait: time.Second})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(in).To(gomega.And(gomega.HaveKey("version"), gomega.HaveKey("own"), gomega.HaveKey("wait"), gomega.Not(gomega.HaveKey("limits"))))
		gomega.Expect(news).To(gomega.Equal(bergamotload.News{Reports: wantNews.Reports, ReportVersion: 9}))
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
		server := httptest.NewServer(bergamotreplication.NewHandler(nil, nil, l, nil))
		defer server.Close()
		hub := bergamotmirror.NewPeer("hub", strings.TrimPrefix(server.URL, "http://"))
		lent, err := bergamotreplication.NewClient().Borrow(context.Background(), hub, "llm", 0.7)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(lent).To(gomega.BeTrue())
		gomega.Expect(*l).To(gomega.Equal(lender{service: "llm", share: 0.7}))
	})
})

// lister has the same listing for all.
type lister bergamotdetour.Listing

func (l lister) Listing() bergamotdetour.Listing { return bergamotdetour.Listing(l) }

type listingCase struct {
	handler http.Handler
	err     string // part of the error, empty for none
}

var _ = ginkgo.Describe("a query for the entries that an entry knows", func() {
	entry := func(name string) bergamotdetour.Helper { return bergamotdetour.NewHelper(name, name+":1", "a") }
	branch := bergamotdetour.NewBranch(entry("f"), 7)
	want := bergamotdetour.NewListing(bergamotdetour.AnswerFull, []bergamotdetour.Branch{branch}, []bergamotdetour.Branch{bergamotdetour.NewBranch(entry("h"), 9)}, []bergamotdetour.Helper{entry("e")})
	long := bergamotdetour.NewListing(bergamotdetour.AnswerFull, slices.Repeat([]bergamotdetour.Branch{branch}, 65), nil, nil)
	// Guards against fields that are lost on the way, and against the reply of an entry that has taken over the address, of one of an
	// older build or without bounds.
	bergamottest.Cases(map[string]listingCase{
		"returns all fields":               {handler: bergamotreplication.NewEntriesHandler("hub", lister(want))},
		"fails when another entry answers": {handler: bergamotreplication.NewEntriesHandler("other", lister(want)), err: "other answers"},
		"fails when the list is too long":  {handler: bergamotreplication.NewEntriesHandler("hub", lister(long)), err: "list of 65"},
		"fails when the entry is older":    {handler: bergamotreplication.NewHandler(nil, nil, nil, nil), err: "404"},
	}, func(c listingCase) {
		mux := http.NewServeMux()
		mux.Handle("POST "+bergamotreplication.EntriesPath, c.handler)
		server := httptest.NewServer(mux)
		defer server.Close()
		hub := bergamotdetour.NewHelper("hub", strings.TrimPrefix(server.URL, "http://"), "a")
		got, err := bergamotreplication.NewClient().List(context.Background(), hub)
		if c.err != "" {
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.err)))
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(got).To(gomega.Equal(want))
	})
})
