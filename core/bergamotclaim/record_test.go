package bergamotclaim_test

import (
	"bytes"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamottest"
)

// FuzzDecodeRecord guards against a panic on a damaged row and against a record that changes when it is decoded and
// encoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"state":"claimed","digest":"d","attempt":"a-1","service":"pickup","call":"book","granted":1000}`))
	f.Add([]byte(`{"state":"done","digest":"d","attempt":"a-1","status":200,"kind":"text/plain","body":"QjE="}`))
	f.Add([]byte(`{"state":"done","digest":"d","attempt":"a-1","status":200,"object":"claim-00"}`))
	f.Add([]byte(`{"state":"free","digest":"d","attempt":"a-1","granted":-1}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := bergamotclaim.DecodeRecord(data)
		if err != nil {
			return
		}
		encoded, err := first.Encode()
		if err != nil {
			t.Fatal(err)
		}
		second, err := bergamotclaim.DecodeRecord(encoded)
		if err != nil {
			t.Fatalf("%s does not decode: %s", encoded, err)
		}
		if again, _ := second.Encode(); !bytes.Equal(encoded, again) {
			t.Fatalf("%s became %s", encoded, again)
		}
		if first.DispatchWindow() < 0 || first.Digest() == "" || first.Attempt() == "" {
			t.Fatalf("accepted %s", data)
		}
	})
}

var _ = ginkgo.Describe("a record", func() {
	// Guards against a damaged row that is taken for a free key or a stored answer.
	bergamottest.Cases(map[string]struct{ row string }{
		"is rejected without a state":                                 {`{"digest":"d","attempt":"a"}`},
		"is rejected with an unknown state":                           {`{"state":"open","digest":"d","attempt":"a"}`},
		"is rejected without a digest":                                {`{"state":"free","attempt":"a"}`},
		"is rejected without an attempt":                              {`{"state":"free","digest":"d"}`},
		"is rejected with a negative dispatch window":                 {`{"state":"claimed","digest":"d","attempt":"a","granted":-1}`},
		"is rejected with a dispatch window that overflows":           {`{"state":"claimed","digest":"d","attempt":"a","granted":9223372036854775807}`},
		"is rejected with an answer without status":                   {`{"state":"done","digest":"d","attempt":"a"}`},
		"is rejected with an answer both in the row and in an object": {`{"state":"done","digest":"d","attempt":"a","status":200,"body":"QjE=","object":"o"}`},
		"is rejected when it is truncated":                            {`{"state":"free","digest":"d","attempt":"a`},
		"is rejected when it is empty":                                {``},
	}, func(c struct{ row string }) {
		_, err := bergamotclaim.DecodeRecord([]byte(c.row))
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})

var _ = ginkgo.Describe("a row key", func() {
	// Guards against two workspaces or keys that share a row, whatever characters the keys contain.
	ginkgo.It("can be split into workspace and idempotency key", func() {
		rapid.Check(ginkgo.GinkgoTB(), func(t *rapid.T) {
			workspace, key := rapid.String().Draw(t, "workspace"), rapid.String().Draw(t, "key")
			w, k, ok := bergamotclaim.SplitKey(bergamotclaim.RowKey(workspace, key))
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect([]string{w, k}).To(gomega.Equal([]string{workspace, key}))
		})
	})
})
