package bergamottest

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
)

// knownFailuresEnv names a folder. While it is set, the failure of a spec that KNOWN-RED.txt lists is written into that folder and
// does not fail the package.
const knownFailuresEnv = "BERGAMOTSPUR_KNOWN_FAILURES"

// knownFailuresFile is the list, at the root of the module.
const knownFailuresFile = "KNOWN-RED.txt"

// listedSpec matches the line of a listed spec: its package below the root of the module and its full name.
var listedSpec = regexp.MustCompile(`(?m)^Spec: ([^\s,]+), "([^"\n]+)"`)

// listedSpecs returns the full names of the specs of a package that the text of a list names.
func listedSpecs(text, pkg string) (names []string) {
	for _, m := range listedSpec.FindAllStringSubmatch(text, -1) {
		if m[1] == pkg {
			names = append(names, m[2])
		}
	}
	return names
}

// unlistedFailures returns why a suite fails apart from specs that are listed.
func unlistedFailures(r types.Report, listed []string) (failures []string) {
	failures = slices.Clone(r.SpecialSuiteFailureReasons)
	for _, s := range r.SpecReports {
		if s.Failed() && (!s.LeafNodeType.Is(types.NodeTypeIt) || !slices.Contains(listed, s.FullText())) {
			failures = append(failures, s.FullText())
		}
	}
	return failures
}

// outcome receives the result of a suite.
type outcome struct{ failed bool }

// Fail records that the suite has failed.
func (o *outcome) Fail() { o.failed = true }

// runTolerant runs a suite in which specs that KNOWN-RED.txt lists may fail, and writes what they have shown into a folder.
func runTolerant(t *testing.T, name, folder string) {
	t.Helper()
	text, pkg, err := readKnownFailures()
	if err != nil {
		t.Fatalf("read the known failures: %v", err)
	}
	listed := listedSpecs(text, pkg)
	var report types.Report
	ginkgo.ReportAfterSuite("known failures", func(r ginkgo.Report) { report = r })
	result := &outcome{}
	ginkgo.RunSpecs(result, name)
	if unlisted := unlistedFailures(report, listed); result.failed && (len(unlisted) > 0 || !slices.ContainsFunc(report.SpecReports, types.SpecReport.Failed)) {
		t.Errorf("%d failures that are not listed: %s", len(unlisted), strings.Join(unlisted, "; "))
	}
	for n, s := range report.SpecReports {
		if !slices.Contains(listed, s.FullText()) {
			continue
		}
		text := fmt.Sprintf("%s: %s, %q, ginkgo seed %d\n", s.State, pkg, s.FullText(), report.SuiteConfig.RandomSeed)
		if s.Failed() {
			text += s.FailureMessage() + "\n" + s.CapturedGinkgoWriterOutput
		}
		file := filepath.Join(folder, fmt.Sprintf("%s-%d-%d.txt", strings.ReplaceAll(pkg, "/", "-"), os.Getpid(), n))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Errorf("keep a known failure: %v", err)
		}
	}
}

// readKnownFailures returns the list, and the package of the working folder below the root of the module.
func readKnownFailures() (text, pkg string, err error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", "", err
	}
	for root := dir; ; root = filepath.Dir(root) {
		if _, err := os.Stat(filepath.Join(root, "go.mod")); err == nil {
			if pkg, err = filepath.Rel(root, dir); err != nil {
				return "", "", err
			}
			list, err := os.ReadFile(filepath.Join(root, knownFailuresFile))
			return string(list), filepath.ToSlash(pkg), err
		}
		if root == filepath.Dir(root) {
			return "", "", fmt.Errorf("no go.mod above %s", dir)
		}
	}
}
