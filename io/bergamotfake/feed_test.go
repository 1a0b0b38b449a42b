package bergamotfake

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the feed of the metadata store", func() {
	// Guards against a reader that never sees a change because the reply to a wait that ends beside it names a version after it.
	ginkgo.It("has each change up to the version of its reply", func() {
		s := NewMetadataStore()
		var wait sync.WaitGroup
		defer wait.Wait()
		for range 2000 {
			before := s.version
			wait.Go(func() { s.Put("t", "key", 1) })
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/rows-feed?table=t&after="+strconv.FormatInt(before, 10)+"&waitMs=0", nil))
			var reply struct {
				Rows    []MetadataRow `json:"rows"`
				Version int64         `json:"ver"`
			}
			gomega.Expect(json.Unmarshal(w.Body.Bytes(), &reply)).To(gomega.Succeed())
			gomega.Expect(reply.Rows).To(gomega.HaveLen(int(reply.Version - before)))
			wait.Wait()
		}
	})
})
