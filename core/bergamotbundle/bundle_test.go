package bergamotbundle_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotini"
	"bergamotspur/core/bergamottest"
)

func TestBundle(t *testing.T) { bergamottest.Run(t, "bundle") }

const (
	mariKey   = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="
	callerKey = "d2f944a606217386635d4b877d12cd203eff3a11e49f3aa97ad71563a98d8274"
	valid     = `[bundle]
version = 1
[model care]
layers = 12
[model care.small]
layers = 4
[adapter quotes]
model = care
[pipeline advice]
model = care
[service pickup]
once = book
[operator mari]
key = ` + mariKey + `
[workspace kitchen]
keys = ` + callerKey + `
pipelines = *
`
)

type faultCase struct {
	old, new string
	want     []string
}

var _ = ginkgo.Describe("a bundle", func() {
	// Guards against a fault that is not reported, hides another one or names the wrong line.
	bergamottest.Cases(map[string]faultCase{
		"is accepted":                      {},
		"may refer to later sections":      {old: "[model care]\nlayers = 12\n", new: "[pipeline p]\nmodel = care\n[model care]\nlayers = 12\n"},
		"needs a version":                  {old: "version = 1", want: []string{`f:1: [bundle] version: is required`, `f:1: section [bundle] with a version is required`}},
		"needs a parent from version 2 on": {old: "version = 1", new: "version = 2", want: []string{`f:1: [bundle] parent: is required from version 2 on`}},
		"has no parent in version 1":       {old: "version = 1", new: "version = 1\nparent = " + callerKey, want: []string{`f:3: [bundle] parent: version 1 has no parent`}},
		"needs a digest as parent": {
			old: "version = 1", new: "version = 2\nparent = " + strings.ToUpper(callerKey),
			want: []string{`f:3: [bundle] parent: is not a SHA-256 digest in lower-case hexadecimal`},
		},
		"has one [bundle] section": {old: "[model care]", new: "[bundle two]\nversion = 1\n[model care]", want: []string{`f:3: [bundle two] section takes no name`}},
		"needs names for its sections": {old: "[operator mari]", new: "[operator]", want: []string{
			`f:13: [operator] section needs a name, as in [operator example]`,
			`f:14: [operator] key: name of an operator has only lower-case letters, digits and -`,
			`f:1: 1 approvals are needed, but 0 operators are named`,
		}},
		"has no section twice, whatever the spaces": {
			old: "[adapter quotes]", new: "[model  care]\nlayers = 3\n[adapter quotes]",
			want: []string{`f:7: [model care] section appears twice, first on line 3`, `f:8: [model care] layers: key appears twice, first on line 4`},
		},
		"inherits nothing from a section with a similar name": {
			old: "[model care.small]\nlayers = 4", new: "[model care.small]",
			want: []string{`f:5: [model care.small] layers: is required`},
		},
		"has no unknown key":          {old: "layers = 12", new: "layers = 12\nlayer = 3", want: []string{`f:5: [model care] layer: unknown key`}},
		"has no unknown section":      {old: "[service pickup]", new: "[sevice x]\n[service pickup]", want: []string{`f:11: [sevice x] unknown section`}},
		"refers to models that exist": {old: "model = care\n[pipeline", new: "model = car\n[pipeline", want: []string{`f:8: [adapter quotes] model: no model "car"`}},
		"has no key of two operators": {
			old: "[workspace", new: "[operator eve]\nkey = " + mariKey + "\n[workspace",
			want: []string{`f:16: [operator eve] key: key already belongs to operator "mari"`},
		},
		"has no key of two workspaces": {
			old: "pipelines = *", new: "pipelines = *\n[workspace b]\nkeys = " + callerKey,
			want: []string{`f:19: [workspace b] keys: key already belongs to workspace "kitchen"`},
		},
		"has numbers in range": {old: "layers = 12", new: "layers = 1001", want: []string{`f:4: [model care] layers: "1001" is not a whole number from 1 to 1000`}},
		"does not expand a reference to another key": {
			old: "layers = 12", new: "width = 5\nlayers = %(width)s",
			want: []string{`f:5: [model care] layers: "%(width)s" is not a whole number from 1 to 1000`},
		},
		"does not join lines at a backslash": {old: "[pipeline advice]\n", new: "[pipeline advice]\npriority = 1\\\n", want: []string{
			`f:10: [pipeline advice] priority: "1\\" is not a whole number from -10 to 10`,
		}},
		"reports every fault at once": {old: "layers = 12\n", new: "layers = x\nbad line\n[kind k]\nstep = -1\n", want: []string{
			`f:4: [model care] layers: "x" is not a whole number from 1 to 1000`,
			`f:5: [model care] line is not a section, a comment or key = value`,
			`f:7: [kind k] step: "-1" is not a number from 0.1 to 1e+07`,
		}},
	}, func(c faultCase) {
		_, err := bergamotbundle.Parse("f", []byte(strings.Replace(valid, c.old, c.new, 1)))
		if c.want == nil {
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			return
		}
		gomega.Expect(bergamottest.Faults(err)).To(gomega.ConsistOf(c.want))
	})

	// Guards against faults that depend on the number of sections between the two parts of a section that appears twice.
	ginkgo.It("checks both parts of a section that appears twice, however far apart", func() {
		var text strings.Builder
		text.WriteString(valid)
		for n := range 200 {
			fmt.Fprintf(&text, "[kind k%d]\n", n)
		}
		text.WriteString("[model care]\nlayers = 3\nwidth = 0\n")
		_, err := bergamotbundle.Parse("f", []byte(text.String()))
		gomega.Expect(err).To(gomega.MatchError("f:218: [model care] section appears twice, first on line 3\n" +
			"f:219: [model care] layers: key appears twice, first on line 4\n" +
			`f:220: [model care] width: "0" is not a whole number from 1 to 1048576`))
	})

	// Guards against a change that the operators who approve a bundle are not shown.
	ginkgo.It("lists each difference from another one", func() {
		a, err := bergamotbundle.Parse("a", []byte(valid))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		text := strings.NewReplacer("layers = 12", "layers = 14\nwidth = 9", "[model care.small]\nlayers = 4\n", "", "[adapter quotes]", "[kind k]\n[adapter quotes]").Replace(valid)
		b, err := bergamotbundle.Parse("b", []byte(text))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(bergamotbundle.Diff(a, b)).To(gomega.ConsistOf(
			"- [model care.small]", "+ [kind k]", "+ [model care] width = 9", "~ [model care] layers: 12 -> 14"))
		gomega.Expect(bergamotbundle.Diff(a, a)).To(gomega.BeEmpty())
	})
})

// Guards against a text that makes the parser panic, an error that is not a list of faults, and a valid bundle without
// a version or with too few operators.
func FuzzBundle(f *testing.F) {
	for _, seed := range []string{valid, "[bundle]\nversion = 1", "[workspace a]\nkeys = ,", "[model a]\nlayers = 9999999999999999999", "[bundle]\n[ bundle ]"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := bergamotbundle.Parse("f", text)
		if err != nil {
			var faults bergamotini.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("error without faults: %s", err)
			}
			return
		}
		if b.Version() < 1 || len(b.Operators()) < b.NeededApprovals() || len(bergamotbundle.Diff(b, b)) != 0 {
			t.Fatalf("accepted version %d with %d operators", b.Version(), len(b.Operators()))
		}
	})
}

// bigBundle returns the text of a bundle with 34 models and the given number of workspaces.
func bigBundle(workspaces int) []byte {
	var t strings.Builder
	fmt.Fprintf(&t, "[bundle]\nversion = 1\n[operator mari]\nkey = %s\n", mariKey)
	for n := range 34 {
		fmt.Fprintf(&t, "[model m%d]\nlayers = 80\n[pipeline p%d]\nmodel = m%d\n", n, n, n)
	}
	for n := range workspaces {
		fmt.Fprintf(&t, "[workspace w%d]\nkeys = %s\npipelines = p1, p2, p3\nrate = 10\ntokens = 1000\nweight = 2\n",
			n, bergamotbundle.HashKey(fmt.Sprint(n)))
	}
	return []byte(t.String())
}

type nameCase struct {
	extra   string
	adapter string
	limit   int
}

var _ = ginkgo.Describe("the name of an adapter", func() {
	// Guards against a request that names an adapter as its model and is refused because there is no such pipeline.
	bergamottest.Cases(map[string]nameCase{
		"is a pipeline with the defaults":                  {adapter: "quotes", limit: 512},
		"is overridden by a pipeline section of that name": {extra: "[pipeline quotes]\nmodel = care\nlimit = 9\n", limit: 9},
	}, func(c nameCase) {
		b, err := bergamotbundle.Parse("f", []byte(valid+c.extra))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		p, ok := b.Pipeline("quotes")
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(p.Adapter()).To(gomega.Equal(c.adapter))
		gomega.Expect(p.MaxAnswerTokens()).To(gomega.Equal(c.limit))
	})
})
