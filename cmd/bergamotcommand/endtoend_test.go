package bergamotcommand_test

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotobject"
	"bergamotspur/io/bergamottable"
)

const testAPIKey = "whole-path-key"

var testBundle = fmt.Sprintf(`[bundle]
version = 1
[model care]
layers = 12
[pipeline advice]
model = care
limit = 500
[service pickup]
once = book
[operator mari]
key = 11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=
[workspace kitchen]
keys = %s
pipelines = *
services = *
rate = 1000
tokens = 100000
`, bergamotbundle.HashKey(testAPIKey))

// rollOut proposes, approves and rolls a bundle with the given text through the platform's table and object store.
func rollOut(ctx context.Context, platform, text string) {
	objects, table := bergamotobject.NewClient(platform), bergamottable.NewClient(platform)
	defer objects.Close()
	defer table.Close()
	r := &bergamotrollout.Rollout{Table: table, Objects: objects, Clock: bergamotclock.Real{}, Trust: testTrust()}
	b, err := r.Propose(ctx, "bundle", []byte(text))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = r.Approve(ctx, b.Digest(), "mari", testOperatorKey())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = r.Roll(ctx, b.Digest(), "mari")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

// testOperatorSeed is the seed of the first test vector of RFC 8032, whose public key is in testBundle.
const testOperatorSeed = "9d61b19deffd5a60ba844af492ec2cc44449c5697b326919703bac031cae7f60"

func testOperatorKey() ed25519.PrivateKey {
	seed, err := hex.DecodeString(testOperatorSeed)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return ed25519.NewKeyFromSeed(seed)
}

func testTrust() bergamotbundle.Authority {
	return bergamotbundle.NewAuthority(1, bergamotbundle.NewOperator("mari", testOperatorKey().Public().(ed25519.PublicKey)))
}

// settingsText returns the settings of an entry without peers.
func settingsText(name, platform string) string {
	return bergamotfake.EntrySettings(name, "tallinn", platform, "probe = 100ms\nhead = 100ms\npoll = 100ms",
		"mari:11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo=")
}

func writeSettings(name, platform string, extra ...string) string {
	text := settingsText(name, platform) + strings.Join(extra, "")
	file := filepath.Join(ginkgo.GinkgoT().TempDir(), name+".ini")
	gomega.Expect(os.WriteFile(file, []byte(text), 0o600)).To(gomega.Succeed())
	return file
}

func postCompletion(address, prompt string, tokens int, stream bool) (*http.Response, error) {
	body, _ := json.Marshal(map[string]any{"model": "advice", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+testAPIKey)
	return http.DefaultClient.Do(r)
}

func completionText(resp *http.Response) string {
	defer resp.Body.Close()
	var m struct{ Choices []struct{ Text string } }
	if json.NewDecoder(resp.Body).Decode(&m) != nil || len(m.Choices) == 0 {
		return ""
	}
	return m.Choices[0].Text
}

var _ = ginkgo.Describe("separate processes", func() {
	// Guards against a path that works only within one process: three engines that share the layers must give the same
	// answer as a single engine. Guards also against SIGTERM cutting off a stream in flight.
	ginkgo.It("answer a request and drain without cutting off a stream", func(ctx context.Context) {
		platform := start("fake", "platform").readValue("address")
		for n, r := range [][2]string{{"0", "5"}, {"5", "9"}, {"9", "12"}} {
			start("fake", "engine", "--platform", platform, "--name", fmt.Sprintf("runner%d", n),
				"--from", r[0], "--to", r[1], "--step", "1ms").readValue("address")
		}
		rollOut(ctx, platform, testBundle)
		entry := start("serve", writeSettings("entry1", platform))
		callers := entry.readValue("callers")

		gomega.Eventually(func() string {
			resp, err := postCompletion(callers, "oil for beech", 20, false)
			if err != nil {
				return ""
			}
			return completionText(resp)
		}).WithTimeout(20 * time.Second).Should(gomega.Equal(bergamotfake.Reference("oil for beech", 0, 12, 20)))

		resp, err := postCompletion(callers, "long quote", 200, true)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer resp.Body.Close()
		entry.terminate()
		stream, err := io.ReadAll(resp.Body)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(stream)).To(gomega.HaveSuffix("data: [DONE]\n\n"))
		gomega.Expect(entry.wait()).To(gomega.Succeed())
	})
})
