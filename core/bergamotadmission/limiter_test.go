package bergamotadmission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotadmission"
	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

func TestAdmission(t *testing.T) { bergamottest.Run(t, "admission") }

var start = time.Unix(1e9, 0)

func workspace() bergamotbundle.Workspace {
	b := bergamottest.Bundle(bergamottest.MinimalBundle + "[workspace a]\nkeys=" + bergamotbundle.HashKey("k") + "\nrate=20\ntokens=200\n")
	w, _ := b.Workspace("a")
	return w
}

// fixedPeers is what one of several entries knows of the others.
type fixedPeers struct {
	live     int
	own, all float64
}

func (e fixedPeers) Live() int                        { return e.live }
func (e fixedPeers) Demand(string) (own, all float64) { return e.own, e.all }

// countAdmitted sends 100 requests per second for 100 s to each entry and returns the number that were admitted.
func countAdmitted(peers []fixedPeers, tokens float64) (admitted int) {
	w := workspace()
	for _, h := range peers {
		l := bergamotadmission.NewLimiter()
		l.Peers = h
		for n := range 100 * 100 {
			if reason, _ := l.Admit(start.Add(time.Duration(n)*10*time.Millisecond), w, tokens); reason == "" {
				admitted++
			}
		}
	}
	return admitted
}

type limitCase struct {
	peers  []fixedPeers
	tokens float64
	want   int // admitted requests in 100 s, without the burst
}

var _ = ginkgo.Describe("limiter", func() {
	one, four := fixedPeers{live: 1}, fixedPeers{live: 4}
	// Guards against limits that grow with the number of entries, or that are not fully used if demand is uneven.
	bergamottest.Cases(map[string]limitCase{
		"enforces the request rate at one entry":                  {[]fixedPeers{one}, 1, 2000},
		"enforces the request rate across four entries":           {[]fixedPeers{four, four, four, four}, 1, 2000},
		"enforces the token rate at one entry":                    {[]fixedPeers{one}, 50, 400},
		"enforces the token rate across four entries":             {[]fixedPeers{four, four, four, four}, 50, 400},
		"divides the rate by demand when it is uneven":            {[]fixedPeers{{4, 75, 100}, {4, 25, 100}, {4, 0, 100}, {4, 0, 100}}, 1, 2000},
		"divides the rate evenly when the demand is inconsistent": {[]fixedPeers{{2, 90, 10}, {2, 90, 10}}, 1, 2000},
		"counts at least one live entry":                          {[]fixedPeers{{0, 0, 0}}, 1, 2000},
		"divides the rate evenly when the demand is unknown":      {[]fixedPeers{four}, 1, 500},
	}, func(c limitCase) {
		gomega.Expect(countAdmitted(c.peers, c.tokens)).To(gomega.BeNumerically("~", c.want, 0.08*float64(c.want)))
	})

	// Guards against charges for tokens that were never generated.
	ginkgo.It("credits tokens that were not generated and charges those beyond the estimate", func() {
		l, w := bergamotadmission.NewLimiter(), workspace()
		admit := func() bergamotrequest.Reason {
			reason, _ := l.Admit(start, w, 1000)
			return reason
		}
		gomega.Expect(admit()).To(gomega.BeEmpty())
		gomega.Expect(admit()).To(gomega.Equal(bergamotrequest.ReasonTokens))
		l.ChargeTokens(start, "a", -1000)
		gomega.Expect(admit()).To(gomega.BeEmpty())
		l.ChargeTokens(start, "a", 1000)
		_, after := l.Admit(start, w, 1000)
		gomega.Expect(after).To(gomega.BeNumerically("~", 8*time.Second, 100*time.Millisecond))
	})

	// Guards against lengths learned from one workspace that are applied to another with longer or shorter answers.
	ginkgo.It("learns lengths by pipeline and workspace", func() {
		l := bergamotadmission.NewLengths()
		for range 100 {
			l.Observe("advice", "a", 10)
			l.Observe("advice", "b", 500)
		}
		gomega.Expect(l.Expect("advice", "a", 1000)).To(gomega.BeNumerically("~", 10, 1))
		gomega.Expect(l.Expect("advice", "b", 1000)).To(gomega.BeNumerically("~", 500, 1))
		gomega.Expect(l.Expect("advice", "b", 20)).To(gomega.Equal(20.0))
		gomega.Expect(l.Expect("advice", "new", 1000)).To(gomega.BeNumerically("~", 255, 100))
	})
})

func BenchmarkAdmit(b *testing.B) {
	gomega.RegisterTestingT(b)
	text := bergamottest.MinimalBundle
	for n := range 11000 {
		text += fmt.Sprintf("[workspace w%d]\nkeys=%s\nrate=1000000\ntokens=1000000000\n", n, bergamotbundle.HashKey(fmt.Sprint(n)))
	}
	bundle := bergamottest.Bundle(text)
	for _, workspaces := range []int{10, 1000, 11000} {
		b.Run(fmt.Sprint("workspaces=", workspaces), func(b *testing.B) {
			var list []bergamotbundle.Workspace
			for n := range workspaces {
				w, _ := bundle.Workspace(fmt.Sprint("w", n))
				list = append(list, w)
			}
			l := bergamotadmission.NewLimiter()
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				now := start.Add(time.Duration(n) * time.Microsecond)
				l.Admit(now, list[n%workspaces], 20)
				l.ChargeTokens(now, list[n%workspaces].Name(), 0)
				n++
			}
		})
	}
}
