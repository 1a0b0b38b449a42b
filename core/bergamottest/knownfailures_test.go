package bergamottest

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	"github.com/onsi/gomega"
)

func TestHarness(t *testing.T) { Run(t, "harness") }

type knownFailureCase struct {
	list    string
	special []string // reasons why the suite has failed
	setup   bool     // the failure is one of the set-up of the suite
	passes  bool
}

var _ = ginkgo.Describe("the list of known failures", func() {
	// Guards against a CI run that passes over a failure that is not listed.
	Cases(map[string]knownFailureCase{
		"covers a spec that it names":                   {list: "Spec: io/soak, \"the soak of seed 1\", with -race.\nSeen: once", passes: true},
		"covers each of several specs of an entry":      {list: "Spec: io/soak, \"other\"\nSpec: io/soak, \"the soak of seed 1\"", passes: true},
		"does not cover one of another package":         {list: "Spec: io/soaks, \"the soak of seed 1\""},
		"does not cover one whose name only begins so":  {list: "Spec: io/soak, \"the soak of seed\""},
		"does not cover one that the text mentions":     {list: "Spec: io/soak, \"other\".\nSeen beside io/soak, \"the soak of seed 1\""},
		"does not cover a package without a spec":       {list: "Package: io/soak"},
		"does not cover what ends the whole suite":      {list: "Spec: io/soak, \"the soak of seed 1\"", special: []string{"timeout"}},
		"does not cover the set-up that a suite shares": {list: "Spec: io/soak, \"the soak of seed 1\"", setup: true},
	}, func(c knownFailureCase) {
		failed := types.SpecReport{
			ContainerHierarchyTexts: []string{"the soak"}, LeafNodeText: "of seed 1", LeafNodeType: types.NodeTypeIt, State: types.SpecStateFailed,
		}
		if c.setup {
			failed.LeafNodeType = types.NodeTypeBeforeSuite
		}
		r := types.Report{SpecReports: types.SpecReports{failed}, SpecialSuiteFailureReasons: c.special}
		gomega.Expect(len(unlistedFailures(r, listedSpecs(c.list, "io/soak"))) == 0).To(gomega.Equal(c.passes))
	})
})
