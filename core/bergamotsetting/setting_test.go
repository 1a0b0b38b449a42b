package bergamotsetting_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotini"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/core/bergamottest"
)

func TestSetting(t *testing.T) { bergamottest.Run(t, "setting") }

const (
	mariKey  = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="
	juhanKey = "PUAXw+hDiVqStwqnTRt+vJyYLM8uxJaMwM1V8Sr0Zgw="
	valid    = `[entry]
name = entry1
centre = tallinn
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:8081
[platform]
table = 127.0.0.1:9001
objects = 127.0.0.1:9002
weights = 127.0.0.1:9003
list = 127.0.0.1:9004
[trust]
operators = mari:` + mariKey + `
`
)

type faultCase struct {
	old, new string   // replacement in the valid text
	want     []string // expected faults, nil for none
}

var _ = ginkgo.Describe("settings", func() {
	// Guards against a fault that is not reported, hides another one or names the wrong line.
	bergamottest.Cases(map[string]faultCase{
		"accept valid text": {},
		"accept peers": {old: "[trust]", new: "[peers]\nlisten = 10.0.0.1:7000\nseeds = e2@10.0.0.2:7000, e3@[::1]:7000\n" +
			"cert = a\nkey = b\nca = c\n[trust]"},
		"report an unknown key":     {old: "name = entry1", new: "name = entry1\nnames = x", want: []string{`f:3: [entry] names: unknown key`}},
		"report an unknown section": {old: "[trust]", new: "[extra]\na = 1\n[trust]", want: []string{`f:12: [extra] unknown section`}},
		"report a section with a name": {
			old: "[trust]", new: "[timing fast]\n[trust]",
			want: []string{`f:12: [timing fast] unknown section`},
		},
		"report a key that appears twice": {
			old: "name = entry1", new: "name = entry1\nname = entry2",
			want: []string{`f:3: [entry] name: key appears twice, first on line 2`},
		},
		"report a missing section": {old: "[trust]\noperators = mari:" + mariKey + "\n", want: []string{`f:1: section [trust] is required`}},
		"report a missing value":   {old: "name = entry1", new: "name =", want: []string{`f:2: [entry] name: is required`}},
		"report a host name": {
			old: "table = 127.0.0.1:9001", new: "table = localhost:9001",
			want: []string{`f:8: [platform] table: "localhost:9001" is not an IP address with a port`},
		},
		"report a bad port": {
			old: "127.0.0.1:9001", new: "127.0.0.1:90010",
			want: []string{`f:8: [platform] table: "127.0.0.1:90010" is not an IP address with a port`},
		},
		"report a line without =": {
			old: "centre = tallinn", new: "centre tallinn",
			want: []string{`f:1: [entry] centre: is required`, `f:3: [entry] line is not a section, a comment or key = value`},
		},
		"report an open section header": {
			old: "[listen]", new: "[listen",
			want: []string{`f:4: [listen] section header must be [name] alone on its line`},
		},
		"report a quoted value": {old: "entry1", new: "\"\"\"entry1", want: []string{
			`f:1: [entry] name: is required`, `f:2: [entry] name: value is written without quotes`,
		}},
		"report a key before the first section": {
			old: "[entry]", new: "x = 1\n[entry]",
			want: []string{`f:1: x: key stands before the first section`},
		},
		"report a bad operator": {
			old: "mari:", new: "mari",
			want: []string{
				`f:13: [trust] operators: "mari` + mariKey + `": name of an operator has only lower-case letters, digits and -`,
				`f:12: [trust] needed: 1 approvals are needed, but 0 operators are named`,
			},
		},
		"report two operators with one key": {
			old: "mari:" + mariKey, new: "mari:" + mariKey + ", eve:" + mariKey,
			want: []string{`f:13: [trust] operators: "eve:` + mariKey + `" has the name or the key of operator "mari"`},
		},
		"report more approvals than operators": {
			old: "mari:" + mariKey, new: "mari:" + mariKey + ", juhan:" + juhanKey + "\nneeded = 3",
			want: []string{`f:14: [trust] needed: 3 approvals are needed, but 2 operators are named`},
		},
		"report peers without keys": {old: "[trust]", new: "[peers]\nlisten = 10.0.0.1:7000\nseeds = x\n[trust]", want: []string{
			`f:12: [peers] cert: is required`, `f:12: [peers] key: is required`, `f:12: [peers] ca: is required`,
			`f:14: [peers] seeds: "x" is not a name, an @ and an IP address with a port`,
		}},
		"report every fault at once": {
			old: "[trust]", new: "[timing]\nhead = soon\nstal = 1s\nattempts = 0\n[nothing]\n[trust]",
			want: []string{
				`f:13: [timing] head: "soon" is not a duration from 10ms to 1m0s`, `f:14: [timing] stal: unknown key`,
				`f:15: [timing] attempts: "0" is not a whole number from 1 to 100`, `f:16: [nothing] unknown section`,
			},
		},
	}, func(c faultCase) {
		_, err := bergamotsetting.Parse("f", []byte(strings.Replace(valid, c.old, c.new, 1)))
		if c.want == nil {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return
		}
		gomega.Expect(bergamottest.Faults(err)).To(gomega.ConsistOf(c.want))
	})

	// Guards against defaults that differ from the documented ones.
	ginkgo.It("have the documented defaults", func() {
		s := bergamottest.Must(bergamotsetting.Parse("f", []byte(valid)))
		gomega.Expect([]time.Duration{s.DrainTimeout(), s.StallTimeout(), s.ProbeInterval(), s.HeadInterval(), s.PollInterval()}).To(gomega.Equal(
			[]time.Duration{30 * time.Second, 3 * time.Second, time.Second, 2 * time.Second, time.Second}))
		gomega.Expect(s.MaxAttempts()).To(gomega.Equal(5))
		gomega.Expect(s.Trust().NeededApprovals()).To(gomega.Equal(1))
		gomega.Expect(s.HasPeers()).To(gomega.BeFalse())
	})
})

// Guards against a text that makes the parser panic, an error that is not a list of faults, and a fault with a line
// that the text does not have.
func FuzzSettings(f *testing.F) {
	for _, seed := range []string{valid, "[", "[]", "= 1", "[a]\n`x", "[DEFAULT]\na=1", "\ufeff[entry]\r\nname=\\\r\n", "[a.b]\nc = %(c)s"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		_, err := bergamotsetting.Parse("f", text)
		var faults bergamotini.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Fatalf("error without faults: %s", err)
		}
		lines := strings.Count(string(text), "\n") + 1
		for _, fault := range faults {
			if fault.Line() < 1 || fault.Line() > lines {
				t.Fatalf("fault on line %d of %d: %s", fault.Line(), lines, fault)
			}
		}
	})
}
