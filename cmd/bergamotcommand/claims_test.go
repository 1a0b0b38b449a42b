package bergamotcommand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/cmd/bergamotcommand"
	"bergamotspur/core/bergamotclaim"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamottable"
)

// runCommand runs the command line in this process and returns the exit code and the output.
func runCommand(args ...string) (code int, out string) {
	var buffer bytes.Buffer
	code = bergamotcommand.Main(args, &buffer, &buffer)
	return code, buffer.String()
}

var _ = ginkgo.Describe("claims", func() {
	// Guards against calls without an outcome that the list omits, and against releasing a call that an entry may still
	// send to the service.
	ginkgo.It("list calls without an outcome and settle them", func(ctx context.Context) {
		platform := bergamotfake.NewPlatform()
		gomega.Expect(platform.Start("127.0.0.1:0")).To(gomega.Succeed())
		ginkgo.DeferCleanup(platform.Kill)
		settings := writeSettings("entry1", platform.Address())
		table := bergamottable.NewClient(platform.Address())
		ginkgo.DeferCleanup(table.Close)
		for key, state := range map[string]string{"order 1": "unknown", "order 2": "claimed", "order 3": "ran"} {
			value, err := json.Marshal(map[string]any{
				"state": state, "digest": "d", "attempt": "entry1-" + state, "service": "pickup", "call": "book",
			})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			_, ok, err := table.CompareAndSet(ctx, bergamotclaim.RowKey("kitchen", key), 0, value)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(ok).To(gomega.BeTrue())
		}
		code, out := runCommand("claims", "list", "--settings", settings)
		gomega.Expect(code).To(gomega.BeZero(), out)
		gomega.Expect(strings.Split(strings.TrimSpace(out), "\n")).To(gomega.HaveLen(3))
		gomega.Expect(out).To(gomega.MatchRegexp(`unknown +kitchen +order 1 +pickup/book +entry1-unknown`))
		gomega.Expect(out).To(gomega.MatchRegexp(`claimed +kitchen +order 2 +pickup/book +entry1-claimed`))

		settle := func(key, attempt, outcome string, more ...string) (int, string) {
			return runCommand(append([]string{"claims", "settle", "--settings", settings, "kitchen", key, attempt, outcome, "--by", "mari"}, more...)...)
		}
		code, out = settle("order 1", "entry1-unknown", "ran")
		gomega.Expect(code).To(gomega.BeZero(), out)
		code, out = settle("order 2", "entry1-claimed", "notrun")
		gomega.Expect(code).To(gomega.Equal(1), out)
		code, out = settle("order 2", "entry1-claimed", "notrun", "--ended")
		gomega.Expect(code).To(gomega.BeZero(), out)
		_, out = runCommand("claims", "list", "--settings", settings, "--wait", "1ms")
		gomega.Expect(strings.Split(strings.TrimSpace(out), "\n")).To(gomega.HaveLen(1), fmt.Sprint(out))
	})

	// Guards against a demo in which the repeated booking runs on the service again instead of being replayed.
	ginkgo.It("replay the second booking of the demo", func() {
		code, out := runCommand("demo")
		gomega.Expect(code).To(gomega.BeZero(), out)
		gomega.Expect(out).To(gomega.MatchRegexp(`booking \(path pickup-1, replayed: false\):\n(.*)\nthe same booking again, at the other entry \(path , replayed: true\):\n(.*)\n`))
		gomega.Expect(out).To(gomega.ContainSubstring("the pickup service ran 1 call(s)"))
	})
})
