package bergamotrollout_test

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotstore"
)

// bundlePeer is another entry that serves the text of its bundle in force, which may be nil.
type bundlePeer struct{ bundle *bergamotbundle.Bundle }

func (p bundlePeer) Fetch(_ context.Context, name string) ([]byte, error) {
	return bergamotrollout.ObjectForPeer(p.bundle, name)
}

var _ = ginkgo.Describe("a peer that shares its bundle", func() {
	// Guards against an outage of the object store that keeps a new entry out of service although a peer has the text,
	// and against a peer that provides another bundle than the one that the head in the table names.
	ginkgo.It("provides the text in force and no other", func(ctx context.Context) {
		s := newStore()
		digests := rollFourVersions(s)
		four, three := bundleOf(s, digests[3]), bundleOf(s, digests[2])
		s.ClearObjects()
		source := &bergamotrollout.Source{Table: s, Objects: s, Trust: trust(1, "juhan"), Peers: bundlePeer{four}}
		b, err := source.Head(ctx, nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(b.Digest()).To(gomega.Equal(digests[3]))
		for _, peer := range []*bergamotbundle.Bundle{three, nil} {
			source = &bergamotrollout.Source{Table: s, Objects: s, Trust: trust(1, "juhan"), Peers: bundlePeer{peer}}
			_, err = source.Head(ctx, nil)
			gomega.Expect(err).To(gomega.MatchError(bergamotstore.ErrNotFound))
		}
	})
})
