package bergamotdemo_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/io/bergamotdemo"
	"bergamotspur/io/bergamotentry"
)

// Guards against an assembled entry without its queue or its throughput bound: its status must show the rate that callers
// received and the highest rate that the runners allow, and a request whose deadline cannot be met must be refused without
// a run.
var _ = ginkgo.Describe("the load of an entry", func() {
	ginkgo.It("is in its status, and requests whose deadline cannot be met are refused", func(ctx context.Context) {
		demo := &bergamotdemo.Demo{Log: io.Discard}
		ginkgo.DeferCleanup(func() { gomega.Expect(demo.Close()).To(gomega.Succeed()) })
		gomega.Expect(demo.Start(ctx)).To(gomega.Succeed())
		entry := demo.Entries()[0]
		complete := func(deadline string) *http.Response {
			body := `{"model":"advice","prompt":"` + strings.Repeat("oil for beech ", 20) + `","max_tokens":200}`
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.CallerAddress()+"/v1/completions", strings.NewReader(body))
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			r.Header.Set("Authorization", "Bearer "+bergamotdemo.APIKey)
			r.Header.Set("Bergamot-Deadline", deadline)
			resp, err := http.DefaultClient.Do(r)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return resp
		}
		gomega.Expect(complete("60000").StatusCode).To(gomega.Equal(http.StatusOK))

		refused := complete("20")
		gomega.Expect(refused.Header.Get("Bergamot-Reason")).To(gomega.Equal("deadline"))
		gomega.Expect(refused.Header.Get("Bergamot-Run")).To(gomega.Equal("no"))
		gomega.Expect(entry.Metrics().Value("refusal.deadline")).To(gomega.Equal(int64(1)))

		resp, err := http.Get("http://" + entry.OperatorAddress() + "/status")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer resp.Body.Close()
		var m bergamotentry.StatusMessage
		gomega.Expect(json.NewDecoder(resp.Body).Decode(&m)).To(gomega.Succeed())
		var names []string
		for _, p := range m.Pipelines {
			names = append(names, p.Name)
		}
		gomega.Expect(names).To(gomega.Equal(entry.View().Bundle().Pipelines()))
		gomega.Expect(m.Pipelines[0].Rate).To(gomega.BeNumerically(">", 0))
		gomega.Expect(m.Pipelines[0].MaxRate).To(gomega.BeNumerically(">", 0))
		gomega.Expect(m.Pipelines[0].Utilization).To(gomega.BeNumerically(">", 0))
	})
})
