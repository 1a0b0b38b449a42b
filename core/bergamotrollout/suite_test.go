package bergamotrollout_test

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotmemory"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamottest"
)

type fault = bergamotmemory.Fault

const (
	none   = bergamotmemory.OK
	down   = bergamotmemory.Down
	lost   = bergamotmemory.ReplyLost
	late   = bergamotmemory.Delayed
	race   = bergamotmemory.RivalFirst
	reject = bergamotmemory.Rejected
)

func TestRollout(t *testing.T) { bergamottest.Run(t, "rollout") }

func seedKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func operator(name string) bergamotbundle.Operator {
	return bergamotbundle.NewOperator(name, seedKey(name).Public().(ed25519.PublicKey))
}

// bundleText returns a bundle that names operators; tag makes two bundles of one version differ.
func bundleText(version int64, parent, tag string, needed int, operators ...string) []byte {
	text := fmt.Sprintf("[bundle]\nversion = %d\nparent = %s\nneeded = %d\n[model m]\nlayers = 2\nversion = %s\n",
		version, parent, needed, tag)
	for _, name := range operators {
		text += fmt.Sprintf("[operator %s]\nkey = %s\n", name, base64.StdEncoding.EncodeToString(operator(name).Key()))
	}
	return []byte(text)
}

func trust(needed int, names ...string) bergamotbundle.Authority {
	var out []bergamotbundle.Operator
	for _, name := range names {
		out = append(out, operator(name))
	}
	return bergamotbundle.NewAuthority(needed, out...)
}

// newStore returns a store whose clock stands still, so that a late write takes effect at the next operation.
func newStore() *bergamotmemory.Store {
	s := bergamotmemory.NewStore()
	s.Clock = bergamotclock.NewVirtual(time.Unix(0, 0))
	return s
}

func newRollout(s *bergamotmemory.Store) *bergamotrollout.Rollout {
	return &bergamotrollout.Rollout{Table: s, Objects: s, Clock: bergamottest.InstantClock{}, Trust: trust(1, "mari")}
}

// propose stores a bundle and the approvals of approvers and returns the digest of the bundle.
func propose(s *bergamotmemory.Store, text []byte, approvers ...string) string {
	r := newRollout(s)
	ctx := context.Background()
	b, err := r.Propose(ctx, "test", text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for _, name := range approvers {
		_, err = r.Approve(ctx, b.Digest(), name, seedKey(name))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
	}
	return b.Digest()
}

// rollFirst rolls a first version, approved by mari, and returns its digest. It names the operators mari and juhan, of
// whom needed must approve the next version.
func rollFirst(s *bergamotmemory.Store, needed int) string {
	digest := propose(s, bundleText(1, "", "a", needed, "mari", "juhan"), "mari")
	_, err := newRollout(s).Roll(context.Background(), digest, "mari")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s.ClearJournal()
	return digest
}

func headOf(s *bergamotmemory.Store) bergamotrollout.Head {
	h, _, err := newRollout(s.Clone()).Head(context.Background())
	if err != nil {
		panic(err) // The copy of the store has no faults.
	}
	return h
}
