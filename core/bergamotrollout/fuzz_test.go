package bergamotrollout_test

import (
	"bytes"
	"testing"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotrollout"
)

func seedDigest() string { return bergamotbundle.Digest([]byte("x")) }

// Guards against a row that makes the decoder panic, and a decoded head that names no bundle.
func FuzzHead(f *testing.F) {
	digest := seedDigest()
	for _, h := range []bergamotrollout.Head{
		bergamotrollout.NewHead(1, digest, "", "mari"),
		bergamotrollout.NewHead(2, digest, digest, "mari", bergamotrollout.Sign("mari", digest, seedKey("mari"))),
	} {
		data, err := h.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"version":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := bergamotrollout.DecodeHead(data)
		if err != nil {
			return
		}
		if h.Version() < 1 || !bergamotbundle.IsDigest(h.Digest()) || h.Version() > 1 && !bergamotbundle.IsDigest(h.Parent()) {
			t.Fatalf("accepted %q", data)
		}
		again, err := h.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if h2, err := bergamotrollout.DecodeHead(again); err != nil || h2.Digest() != h.Digest() || len(h2.Approvals()) != len(h.Approvals()) {
			t.Fatalf("%q changed by encoding: %v", data, err)
		}
	})
}

// Guards against an object that makes the decoder panic, and an approval that is valid without the operator's key.
func FuzzApproval(f *testing.F) {
	digest := seedDigest()
	signed, err := bergamotrollout.Sign("mari", digest, seedKey("mari")).Encode()
	if err != nil {
		f.Fatal(err)
	}
	forged, err := bergamotrollout.Sign("mari", digest, seedKey("eve")).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(signed)
	f.Add(forged)
	f.Add([]byte(`{"operator":"mari","signature":"AA=="}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := bergamotrollout.DecodeApproval(data)
		if err != nil || !a.Valid(operator("mari")) {
			return
		}
		again, err := a.Encode()
		if err != nil || !bytes.Equal(again, signed) {
			t.Fatalf("accepted an approval that mari did not give: %q", data)
		}
	})
}
