package bergamotrollout

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"bergamotspur/core/bergamotbundle"
)

// Guards against a text that differs after it was packed and unpacked, and an object that fills the memory of an entry.
func TestPack(t *testing.T) {
	text := []byte(strings.Repeat("[model m]\n", 1000))
	data, err := pack(text)
	if err != nil || len(data) > len(text)/10 {
		t.Fatalf("%d bytes packed into %d: %v", len(text), len(data), err)
	}
	for name, object := range map[string][]byte{"packed": data, "plain": text} {
		if got, err := unpack(object); err != nil || !bytes.Equal(got, text) {
			t.Errorf("%s: text changed: %v", name, err)
		}
		if !matchesDigest(ObjectName(bergamotbundle.Digest(text)), object) {
			t.Errorf("%s: digest does not match", name)
		}
	}
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, _ = w.Write(make([]byte, maxTextBytes+1))
	_ = w.Close()
	for name, object := range map[string][]byte{"too large": bomb.Bytes(), "cut off": data[:len(data)/2], "only the mark": gzipMagic} {
		if _, err := unpack(object); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := pack(make([]byte, maxTextBytes+1)); err == nil {
		t.Error("a text over the limit was packed")
	}
}
