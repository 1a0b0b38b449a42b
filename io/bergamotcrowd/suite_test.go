//go:build crowd

package bergamotcrowd

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

func TestCrowd(t *testing.T) { bergamottest.Run(t, "crowd") }

// binary is the path of the program under test.
var binary string

var _ = ginkgo.BeforeSuite(func() {
	dir, err := os.MkdirTemp("", "bergamot")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(os.RemoveAll, dir)
	binary = filepath.Join(dir, "bergamotspur")
	out, err := exec.Command("go", "build", "-o", binary, "bergamotspur").CombinedOutput()
	gomega.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
})

// machine is the size of the machine that the settings describe, with the factor by which the loads are multiplied.
type machine struct {
	memoryMB int
	maxFDs   int
	bodyMB   int // maxBodyBytes of the configuration
	scale    int
}

// The memory of the small machine is about half that of the smallest one in use, so that small loads exceed it. An idle
// entry peaks at 17 to 19 MB (measured on x86-64), which leaves at least 67 MB for clients below the bound of 0.9. Its
// descriptors leave 480 connections to callers, more than any load uses except all at once and the one that exceeds them.
var (
	smallMachine    = machine{memoryMB: 96, maxFDs: 1000, bodyMB: 1, scale: 1}
	smallestRealOne = machine{memoryMB: 184, maxFDs: 4100, bodyMB: 1, scale: 1}
)

// testedMachine returns the small machine, or the smallest one in use if BERGAMOT_CROWD_SCALE is set to the factor of the
// loads. BERGAMOT_CROWD_BODY_MB then sets the maximum size of a body.
func testedMachine() machine {
	scale, err := strconv.Atoi(os.Getenv("BERGAMOT_CROWD_SCALE"))
	if err != nil || scale < 1 {
		return smallMachine
	}
	m := smallestRealOne
	m.scale = scale
	if n, err := strconv.Atoi(os.Getenv("BERGAMOT_CROWD_BODY_MB")); err == nil && n > 0 {
		m.bodyMB = n
	}
	return m
}

// reservedFDs is the number of descriptors of maxFds that connections may not use.
const reservedFDs = 200

// maxPeak returns the highest resident memory in bytes that a process may reach. The machine kills it at memoryMB; a tenth
// is left for what the kernel holds for its connections, and 1 MB is counted as a million bytes, the smaller of the two
// meanings.
func (m machine) maxPeak() int64 { return int64(m.memoryMB) * 1_000_000 * 9 / 10 }

// maxOpen returns the highest number of descriptors that a process may have open.
func (m machine) maxOpen() int { return m.maxFDs - reservedFDs }

// maxBody returns the maximum size of a body in bytes.
func (m machine) maxBody() int { return m.bodyMB << 20 }
