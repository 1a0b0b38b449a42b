package bergamotentry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
)

// careBundle declares a version of a model with two replicas, and a workspace that may use it.
func careBundle(version int) string {
	return fmt.Sprintf(`[model care]
layers = 4
version = %d
[pipeline advice]
model = care
replicas = 2
[workspace kitchen]
keys = %s
pipelines = *
rate = 100000
tokens = 10000000
`, version, bergamotbundle.HashKey("kitchen-key"))
}

// complete returns the text of a completion of 5 tokens, or the status and body of a refusal.
func complete(address string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions",
		strings.NewReader(`{"model":"advice","prompt":"oil for beech","max_tokens":5}`))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	r.Header.Set("Authorization", "Bearer kitchen-key")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var m struct{ Choices []struct{ Text string } }
	if json.Unmarshal(data, &m) != nil || len(m.Choices) == 0 {
		return fmt.Sprintf("%d %s", resp.StatusCode, data)
	}
	return m.Choices[0].Text
}

var _ = ginkgo.Describe("a new version of a model", func() {
	// Guards against a gap in which no version is loaded completely, or in which requests need one that is not loaded yet.
	// Each runner has memory for one version only.
	ginkgo.It("is loaded on one runner after the other while every request is answered", func(ctx context.Context) {
		m := newMesh()
		m.rollWith(ctx, 1, careBundle(1))
		a := m.start("a")[0]
		engines := []*bergamotfake.Engine{startRunner(true), startRunner(true)}
		for n, e := range engines {
			a.put(bergamotlist.InstanceMessage{Name: fmt.Sprint("r", n), Address: e.Address(), Role: "runner", MaxLayers: 4, SupportsFencing: true})
			eventually(heldVersion).WithArguments(e).Should(gomega.Equal("1"))
		}
		want := bergamotfake.Reference("oil for beech", 0, 4, 5)
		eventually(complete).WithArguments(a.CallerAddress()).Should(gomega.Equal(want))
		m.rollWith(ctx, 2, careBundle(2))
		eventually(func() bool {
			gomega.Expect(complete(a.CallerAddress())).To(gomega.Equal(want))
			return heldVersion(engines[0]) == "2" && heldVersion(engines[1]) == "2"
		}).Should(gomega.BeTrue())
		gomega.Expect(complete(a.CallerAddress())).To(gomega.Equal(want))
	})
})
