package bergamotfake_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// storeReply is an answer of the store.
type storeReply struct {
	status  int
	era     string
	version int64
	keys    []string
}

func callStore(server *httptest.Server, method, path, body string) (out storeReply, err error) {
	req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	if err != nil {
		return out, err
	}
	resp, err := server.Client().Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, err
	}
	var reply struct {
		Rows    []bergamotfake.MetadataRow `json:"rows"`
		Version int64                      `json:"ver"`
	}
	_ = json.Unmarshal(data, &reply) // a 503 has no rows
	out = storeReply{status: resp.StatusCode, era: resp.Header.Get("Store-Era"), version: reply.Version}
	for _, r := range reply.Rows {
		out.keys = append(out.keys, r.Key)
	}
	return out, nil
}

type snapshotCase struct {
	method, path, body string
	down               bool
	want               storeReply
}

// A specification of a restored store proves nothing unless the fake does what the platform's documentation says.
var _ = ginkgo.Describe("A restored metadata store", func() {
	var (
		s      *bergamotfake.MetadataStore
		server *httptest.Server
	)
	ginkgo.BeforeEach(func() {
		s = bergamotfake.NewMetadataStore()
		server = httptest.NewServer(s.Handler())
		ginkgo.DeferCleanup(server.Close)
	})

	// The copy has the versions 1 and 2, the lost writes had the versions 3 and 4, and one write follows the restore.
	bergamottest.Cases(map[string]snapshotCase{
		"has the rows of the copy": {
			method: "GET", path: "/rows-get?table=t", want: storeReply{200, "1", 3, []string{"a", "b", "new"}},
		},
		"gives version numbers out again": {
			method: "POST", path: "/rows-tx", body: `{"puts":[{"table":"t","key":"c"}]}`, want: storeReply{200, "1", 4, nil},
		},
		"refuses a condition on a lost write": {
			method: "POST", path: "/rows-tx", body: `{"precondition":[{"table":"t","key":"lost","ver":4}]}`, want: storeReply{412, "1", 3, nil},
		},
		"feeds the changes after a version of the copy": {
			method: "GET", path: "/rows-feed?table=t&after=1", want: storeReply{200, "1", 3, []string{"b", "new"}},
		},
		"answers 410 to a feed after a version that it does not have": {
			method: "GET", path: "/rows-feed?table=t&after=4", want: storeReply{410, "1", 3, nil},
		},
		"feeds nothing after a lost version that was given out again": {
			method: "GET", path: "/rows-feed?table=t&after=3", want: storeReply{200, "1", 3, nil},
		},
		"names its era in a refusal": {
			method: "GET", path: "/rows-get?table=t", down: true, want: storeReply{503, "1", 0, nil},
		},
	}, func(c snapshotCase) {
		s.Put("t", "a", 1)
		s.Put("t", "b", 2)
		snapshot := s.Snapshot()
		gomega.Expect(snapshot.Version()).To(gomega.BeEquivalentTo(2))
		s.Put("t", "a", 3)
		s.Put("t", "lost", 4)
		first, err := callStore(server, "GET", "/rows-get?table=t", "")
		gomega.Expect(first, err).To(gomega.Equal(storeReply{200, "0", 4, []string{"a", "b", "lost"}}))
		s.Restore(snapshot)
		s.Put("t", "new", 5)
		s.Faults.SetDown(c.down)
		gomega.Expect(callStore(server, c.method, c.path, c.body)).To(gomega.Equal(c.want))
	})

	// A feed that went on waiting would later answer from a version that the store does not have.
	ginkgo.It("breaks off the feeds that wait", func() {
		snapshot := s.Snapshot()
		s.Put("t", "lost", 1)
		ended := make(chan error, 1)
		go func() {
			_, err := callStore(server, "GET", fmt.Sprintf("/rows-feed?table=t&after=%d&waitMs=30000", s.Version()), "")
			ended <- err
		}()
		gomega.Eventually(s.Feeds).Should(gomega.BeEquivalentTo(1))
		s.Restore(snapshot)
		gomega.Eventually(ended).Should(gomega.Receive(gomega.HaveOccurred()))
	})
})
