package bergamotrollout_test

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

type sourceCase struct {
	change  func(s *bergamotmemory.Store, digests []string) // change of the store before the entry reads
	current int                                             // version in force at the entry, 0 for a new entry
	trust   []string                                        // operators in the settings of the entry
	peers   bool                                            // another entry has the text in force
	want    int64                                           // version that the entry takes, 0 for none
	err     string
}

// rollFourVersions rolls versions 1 to 4 and returns their digests. Versions 1 and 2 name the operators mari and juhan
// and are approved by mari; versions 3 and 4 name only juhan and are approved by juhan.
func rollFourVersions(s *bergamotmemory.Store) (digests []string) {
	operators := [][]string{{"mari", "juhan"}, {"mari", "juhan"}, {"juhan"}, {"juhan"}}
	approver := []string{"mari", "mari", "juhan", "juhan"}
	parent := ""
	for n, names := range operators {
		parent = propose(s, bundleText(int64(n+1), parent, "a", 1, names...), approver[n])
		_, err := newRollout(s).Roll(context.Background(), parent, approver[n])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		digests = append(digests, parent)
	}
	return digests
}

// forgeHead writes a head without any check, as someone with access to the table can.
func forgeHead(s *bergamotmemory.Store, version int64, digest, parent string, signers ...string) {
	var approvals []bergamotrollout.Approval
	for _, name := range signers {
		approvals = append(approvals, bergamotrollout.Sign(name, digest, seedKey(name)))
	}
	value, _ := bergamotrollout.NewHead(version, digest, parent, "eve", approvals...).Encode()
	s.SetRow(bergamotrollout.HeadKey, value)
}

func storeBundle(s *bergamotmemory.Store, text []byte) string {
	digest := bergamotbundle.Digest(text)
	s.SetObject(bergamotrollout.ObjectName(digest), text)
	return digest
}

var _ = ginkgo.Describe("an entry that reads the head", func() {
	// Guards against an entry that takes a bundle that its operators did not approve, or one older than its own.
	bergamottest.Cases(map[string]sourceCase{
		"takes the next version":                               {current: 3, want: 4},
		"takes nothing when it is current":                     {current: 4},
		"follows changes of operators that it missed":          {current: 1, want: 4},
		"starts from [trust] and follows changes of operators": {trust: []string{"mari"}, want: 4},
		"starts from [trust] that names the new operators":     {trust: []string{"juhan"}, want: 4},
		"does not start from what [trust] does not approve":    {trust: []string{"eve"}, err: "not approved"},
		"starts with nothing when none was rolled out": {trust: []string{"mari"}, change: func(s *bergamotmemory.Store, _ []string) {
			s.ClearRows()
		}},
		"keeps its version when the table lost the head": {
			current: 4, err: "the table has no head",
			change: func(s *bergamotmemory.Store, _ []string) { s.ClearRows() },
		},
		"keeps its version when the table is down": {
			current: 3, err: "no reply",
			change: func(s *bergamotmemory.Store, _ []string) { s.Plan["read"] = []fault{down} },
		},
		"keeps its version when the object store is down": {
			current: 3, err: "no reply",
			change: func(s *bergamotmemory.Store, _ []string) { s.Plan["fetch"] = []fault{down} },
		},
		"asks a peer when the object store is down": {
			current: 3, peers: true, want: 4,
			change: func(s *bergamotmemory.Store, _ []string) { s.Plan["fetch"] = []fault{down} },
		},
		"starts with the text of a peer when the object store is down": {
			trust: []string{"juhan"}, peers: true, want: 4,
			change: func(s *bergamotmemory.Store, _ []string) { s.Plan["fetch"] = []fault{down} },
		},
		"asks a peer when the object is damaged": {
			current: 3, peers: true, want: 4,
			change: func(s *bergamotmemory.Store, d []string) {
				s.SetObject(bergamotrollout.ObjectName(d[3]), []byte("[bundle]"))
			},
		},
		"rejects a damaged object": {
			current: 3, err: "does not match digest",
			change: func(s *bergamotmemory.Store, d []string) {
				s.SetObject(bergamotrollout.ObjectName(d[3]), []byte("[bundle]"))
			},
		},
		"rejects an older head": {
			current: 4, err: "version 4 with digest",
			change: func(s *bergamotmemory.Store, d []string) { forgeHead(s, 3, d[2], d[1], "juhan") },
		},
		"rejects another bundle of its version": {
			current: 4, err: "version 4 with digest",
			change: func(s *bergamotmemory.Store, d []string) {
				forgeHead(s, 4, storeBundle(s, bundleText(4, d[2], "x", 1, "juhan")), d[2], "juhan")
			},
		},
		"rejects a head without approval": {
			current: 4, err: "not approved",
			change: func(s *bergamotmemory.Store, d []string) {
				forgeHead(s, 5, storeBundle(s, bundleText(5, d[3], "x", 1, "eve")), d[3], "eve")
			},
		},
		"rejects a signature by another key in the name of an operator": {
			current: 4, err: "not approved",
			change: func(s *bergamotmemory.Store, d []string) {
				five := storeBundle(s, bundleText(5, d[3], "x", 1, "eve"))
				value, _ := bergamotrollout.NewHead(5, five, d[3], "juhan",
					bergamotrollout.Sign("juhan", five, seedKey("eve"))).Encode()
				s.SetRow(bergamotrollout.HeadKey, value)
			},
		},
		"rejects an operator who was removed": {
			current: 4, err: "not approved",
			change: func(s *bergamotmemory.Store, d []string) {
				forgeHead(s, 5, storeBundle(s, bundleText(5, d[3], "x", 1, "mari")), d[3], "mari")
			},
		},
		"rejects a chain of versions that nobody approved": {
			current: 4, err: "not approved",
			change: func(s *bergamotmemory.Store, d []string) {
				five := storeBundle(s, bundleText(5, d[3], "x", 1, "eve"))
				forgeHead(s, 6, storeBundle(s, bundleText(6, five, "x", 1, "eve")), five, "eve")
			},
		},
		"rejects a head whose version is not that of the text": {
			current: 4, err: "another parent",
			change: func(s *bergamotmemory.Store, d []string) {
				forgeHead(s, 9, storeBundle(s, bundleText(5, d[3], "x", 1, "juhan")), d[3], "juhan")
			},
		},
	}, func(c sourceCase) {
		s := newStore()
		digests := rollFourVersions(s)
		var peer *bergamotmemory.Store
		if c.peers {
			peer = s.Clone()
		}
		c.run(s, digests, peer)
	})

	// Guards against an entry that fetches and parses a bundle without approval again at each read, which would load
	// every entry and the store.
	ginkgo.It("fetches the text of a rejected head once", func(ctx context.Context) {
		s := newStore()
		digests := rollFourVersions(s)
		four := bundleOf(s, digests[3])
		forgeHead(s, 5, storeBundle(s, bundleText(5, digests[3], "x", 1, "eve")), digests[3], "eve")
		s.ClearJournal()
		source := &bergamotrollout.Source{Table: s, Objects: s}
		for range 3 {
			_, err := source.Head(ctx, four)
			gomega.Expect(err).To(gomega.HaveOccurred())
		}
		gomega.Expect(s.Calls(bergamotmemory.Fetch)).To(gomega.Equal(1))
	})

	// Guards against a read of the table that gets no reply and uses up the time in which another one would succeed.
	ginkgo.It("ends a read of the table that gets no answer", func(ctx context.Context) {
		_, err := (&bergamotrollout.Source{Table: silentTable{}, Objects: newStore(), Timeout: time.Millisecond}).Head(ctx, nil)
		gomega.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	})

	// Guards against more than two reads for a new version that the operators of the current one approved.
	ginkgo.It("reads one row and one object for a new version", func(ctx context.Context) {
		s := newStore()
		digests := rollFourVersions(s)
		three := bundleOf(s, digests[2])
		s.ClearJournal()
		_, err := (&bergamotrollout.Source{Table: s, Objects: s}).Head(ctx, three)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(s.Journal()).To(gomega.Equal([]string{bergamotmemory.Read, bergamotmemory.Fetch}))
	})
})

// silentTable is a table that never answers.
type silentTable struct{}

func (silentTable) Read(ctx context.Context, _ string) (bergamotstore.Row, error) {
	<-ctx.Done()
	return bergamotstore.Row{}, ctx.Err()
}

func bundleOf(s *bergamotmemory.Store, digest string) *bergamotbundle.Bundle {
	return bergamottest.Must(newRollout(s.Clone()).Bundle(context.Background(), digest))
}

func (c sourceCase) run(s *bergamotmemory.Store, digests []string, peer *bergamotmemory.Store) {
	var current *bergamotbundle.Bundle
	if c.current > 0 {
		current = bundleOf(s, digests[c.current-1])
	}
	if c.change != nil {
		c.change(s, digests)
	}
	source := &bergamotrollout.Source{Table: s, Objects: s, Trust: trust(1, c.trust...)}
	if peer != nil {
		source.Peers = peer
	}
	b, err := source.Head(context.Background(), current)
	if c.err != "" {
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(c.err)))
		gomega.Expect(b).To(gomega.BeNil())
		return
	}
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if c.want == 0 {
		gomega.Expect(b).To(gomega.BeNil())
		return
	}
	gomega.Expect(b.Version()).To(gomega.Equal(c.want))
}
