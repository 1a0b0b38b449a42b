package bergamotini_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotini"
	"bergamotspur/core/bergamottest"
)

func TestINI(t *testing.T) { bergamottest.Run(t, "ini") }

var _ = ginkgo.Describe("the lines of faults", func() {
	// Guards against a fault that is missing or has the wrong line, since the document scans the lines of a section again
	// to find a key.
	bergamottest.Cases(map[string]struct {
		text string
		want string
	}{
		"refer to the first of two equal keys":          {"[a]\nx = 1\n\nx = 2\n", "f:4: [a] x: key appears twice, first on line 2"},
		"refer to the first of two equal sections":      {"[a]\n[b]\n[ a ]\nx = 1\n", "f:3: [a] section appears twice, first on line 1"},
		"are right after a malformed line":              {"# c\n[a]\nbroken\n\n  y = 5\n", "f:3: [a] line is not a section, a comment or key = value\nf:5: [a] y: read"},
		"are right in the second part of a section":     {"[a]\n[b]\n[a]\ny = 5\n", "f:3: [a] section appears twice, first on line 1\nf:4: [a] y: read"},
		"refer to a key in the first part of a section": {"[a]\nx = 1\n[b]\n[a]\nx = 2\n", "f:4: [a] section appears twice, first on line 1\nf:5: [a] x: key appears twice, first on line 2"},
		"are right after a byte order mark":             {"\ufeff[a]\nx = 'q'\n", "f:2: [a] x: value is written without quotes"},
		"are right in a text with carriage returns":     {"[a]\r\n\r\ny = 5\r\n", "f:3: [a] y: read"},
	}, func(c struct{ text, want string }) {
		d := bergamotini.Parse("f", []byte(c.text))
		for _, s := range d.Sections() {
			if s.Has("y") {
				s.AddFault("y", "read")
			}
		}
		got := ""
		if err := d.Faults(); err != nil {
			got = err.Error()
		}
		gomega.Expect(got).To(gomega.Equal(c.want))
	})

	// Guards against a document that holds more than 3 MB besides the text at 11,000 sections, of the 32 MB that an entry
	// has for control. A map of the locations of all keys and a copy of the lines took 9.7 MB.
	ginkgo.It("are found with little memory", func() {
		var text []byte
		for n := range 11000 {
			text = fmt.Appendf(text, "[workspace w%d]\nkeys = %064d\npipelines = *\nrate = 10\ntokens = 1000\nweight = 2\n", n, n)
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		d := bergamotini.Parse("f", text)
		runtime.GC()
		runtime.ReadMemStats(&after)
		held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
		ginkgo.GinkgoWriter.Printf("held %d B beside a text of %d B\n", held, len(text))
		gomega.Expect(held).To(gomega.BeNumerically("<", 3<<20))
		runtime.KeepAlive(d)
		runtime.KeepAlive(text)
	})
})
