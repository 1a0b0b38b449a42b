package bergamotcommand_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/cmd/bergamotcommand"
	"bergamotspur/core/bergamottest"
)

const entryStatus = `{"entry":"e1","centre":"a","ready":true,"version":7,"age":40,"entries":4,"holder":true,"role":"second hub behind e0","active":3,"links":"lost","lent":2,"admission":[{"service":"llm","known":true,
	"reports":240,"free":900,"total":4000,"entries":4,"share":200,"inFlight":50,"centres":[{"centre":"a","free":900,"reports":240}],"priorities":[
	{"priority":2,"reserve":180,"waiting":1,"waited":5,"admitted":7,"left":1,"refused":{"room":3,"size":1}}],"last":"refused (room): priority 2"}],"runners":[
	{"name":"r1","service":"llm","centre":"a","kind":"l4","state":"live","from":0,"to":8},
	{"name":"r2","service":"llm","centre":"a","kind":"l4","state":"failed","from":8,"to":16},
	{"name":"r3","service":"llm","centre":"a","kind":"l4","state":"live","from":16,"to":80},
	{"name":"r4","service":"app","centre":"b","kind":"","state":"leaving","from":0,"to":0}]}`

type layoutCase struct {
	status string // response of the entry, empty when the entry does not run
	code   int
	want   []string
}

var _ = ginkgo.Describe("layout", func() {
	// Guards against output that does not show missing layers or why requests were refused, and against a success when an entry does not answer.
	bergamottest.Cases(map[string]layoutCase{
		"shows the entry, its runners and missing layers": {entryStatus, 0, []string{
			"entry e1 centre a ready true version 7 confirmed 40 ms ago 4 entries second hub behind e0 places layers true 3 active links lost 2 lent",
			"capacity of llm 900 of 4000 tokens free reports 240 ms old estimate used share 200 of 4 entries 50 in flight",
			"centre a 900 free", "priority 2 reserve 180 1 waiting 5 waited 7 admitted 1 left refused: room 3, size 1", "last: refused (room): priority 2",
			"llm a 8 to 16 l4 r2 failed", "llm a 8 to 16 missing", "app b - r4 leaving",
		}},
		"fails when an entry does not answer": {"", 1, []string{"does not answer, check that the process runs"}},
	}, func(c layoutCase) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, c.status) // a client that disconnects fails the expectations below
		}))
		if c.status == "" {
			server.Close()
		}
		defer server.Close()
		var out bytes.Buffer
		gomega.Expect(bergamotcommand.Main([]string{"layout", strings.TrimPrefix(server.URL, "http://")}, &out, &out)).To(gomega.Equal(c.code))
		lines := strings.Join(strings.Fields(out.String()), " ")
		for _, want := range c.want {
			gomega.Expect(lines).To(gomega.ContainSubstring(want))
		}
	})
})
