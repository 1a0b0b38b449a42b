package bergamotrollout_test

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrollout"
)

// BenchmarkChange measures the time an entry takes to read the head and verify a new bundle, without the network,
// and the bytes that it fetches.
func BenchmarkChange(b *testing.B) {
	for _, workspaces := range []int{10, 1000, 11000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			var extra strings.Builder
			for n := range workspaces {
				fmt.Fprintf(&extra, "[workspace w%d]\nkeys = %s\nrate = 10\ntokens = 1000\nweight = 2\n", n, bergamotbundle.HashKey(fmt.Sprint(n)))
			}
			s := newStore()
			r := newRollout(s)
			ctx := context.Background()
			first, err := bergamotbundle.Parse("one", bundleText(1, "", "a", 1, "mari"))
			if err != nil {
				b.Fatal(err)
			}
			second, err := r.Propose(ctx, "two", append(bundleText(2, first.Digest(), "b", 1, "mari"), extra.String()...))
			if err != nil {
				b.Fatal(err)
			}
			forgeHead(s, 2, second.Digest(), first.Digest(), "mari")
			b.ReportAllocs()
			for b.Loop() {
				source := &bergamotrollout.Source{Table: s, Objects: s}
				if next, err := source.Head(ctx, first); err != nil || next.Version() != 2 {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(s.Objects()[bergamotrollout.ObjectName(second.Digest())])), "fetched-B")
			b.ReportMetric(float64(len(second.Text())), "text-B")
		})
	}
}
