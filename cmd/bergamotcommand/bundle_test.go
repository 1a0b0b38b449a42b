package bergamotcommand_test

import (
	"bytes"
	"encoding/base64"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/cmd/bergamotcommand"
	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

// operatorFixture holds a fake platform, entry settings that trust two operators, and the operators' key files.
type operatorFixture struct {
	dir      string
	platform *bergamotfake.Platform
	keys     map[string]string // public key by operator
}

func newOperatorFixture() *operatorFixture {
	f := &operatorFixture{dir: ginkgo.GinkgoT().TempDir(), platform: bergamotfake.NewPlatform(), keys: map[string]string{}}
	gomega.Expect(f.platform.Start("127.0.0.1:0")).To(gomega.Succeed())
	ginkgo.DeferCleanup(f.platform.Kill)
	for _, name := range []string{"mari", "juhan"} {
		out, code := f.run("keygen", name, f.file(name+".key"))
		gomega.Expect(code).To(gomega.Equal(0), out)
		f.keys[name] = regexp.MustCompile(`key = (\S+)`).FindStringSubmatch(out)[1]
	}
	settings, err := os.ReadFile(writeSettings("entry1", f.platform.Address()))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	text, _, _ := strings.Cut(string(settings), "operators = mari:")
	f.writeFile("settings.ini", text+"operators = mari:"+f.keys["mari"]+", juhan:"+f.keys["juhan"]+"\n")
	return f
}

func (f *operatorFixture) file(name string) string { return filepath.Join(f.dir, name) }

func (f *operatorFixture) writeFile(name, text string) string {
	gomega.Expect(os.WriteFile(f.file(name), []byte(text), 0o600)).To(gomega.Succeed())
	return f.file(name)
}

// run runs one bundle command and returns its output and its exit code.
func (f *operatorFixture) run(args ...string) (string, int) {
	var out bytes.Buffer
	if args[0] != "check" && args[0] != "keygen" {
		args = append(args, "--settings", f.file("settings.ini"))
	}
	code := bergamotcommand.Main(append([]string{"bundle"}, args...), &out, &out)
	return out.String(), code
}

// mustRun runs a bundle command, which must succeed, and returns its output.
func (f *operatorFixture) mustRun(args ...string) string {
	out, code := f.run(args...)
	gomega.Expect(code).To(gomega.Equal(0), out)
	return out
}

// parseDigest returns the digest that a command printed.
func parseDigest(out string) string {
	return regexp.MustCompile(`digest=(\w+)`).FindStringSubmatch(out)[1]
}

func (f *operatorFixture) writeBundle(version, parent, layers string) string {
	return f.writeFile("bundle"+version+".ini", "[bundle]\nversion = "+version+"\nparent = "+parent+"\nneeded = 2\n[model care]\nlayers = "+layers+
		"\n[operator mari]\nkey = "+f.keys["mari"]+"\n[operator juhan]\nkey = "+f.keys["juhan"]+"\n")
}

func (f *operatorFixture) approve(digest, name string) string {
	return f.mustRun("approve", digest, "--by", name, "--key", f.file(name+".key"))
}

// rollFirstVersion puts version 1 in force and returns its digest.
func (f *operatorFixture) rollFirstVersion() string {
	digest := parseDigest(f.mustRun("propose", f.writeBundle("1", "", "12")))
	f.approve(digest, "mari")
	f.mustRun("roll", digest, "--by", "mari")
	return digest
}

type commandCase struct {
	args  func(f *operatorFixture, first string) []string
	fault func(f *operatorFixture)
	want  string // part of the output
}

var _ = ginkgo.Describe("bundle commands", func() {
	// Guards against error messages that do not tell the operator what happened or what to do next.
	roll := func(f *operatorFixture, first string) []string {
		digest := parseDigest(f.mustRun("propose", f.writeBundle("2", first, "13")))
		f.approve(digest, "mari")
		f.approve(digest, "juhan")
		return []string{"roll", digest, "--by", "mari"}
	}
	propose := func(f *operatorFixture, first string) []string {
		return []string{"propose", f.writeBundle("2", first, "13")}
	}
	approve := func(f *operatorFixture, first string) []string {
		digest := parseDigest(f.mustRun("propose", f.writeBundle("2", first, "13")))
		return []string{"approve", digest, "--by", "juhan", "--key", f.file("juhan.key")}
	}
	tableDown := func(f *operatorFixture) { f.platform.Table.Faults.SetDown(true) }
	objectsDown := func(f *operatorFixture) { f.platform.Objects.Faults.SetDown(true) }
	bergamottest.Cases(map[string]commandCase{
		"explain a roll without the table":             {args: roll, fault: tableDown, want: "nothing was changed; run the same command again once the table answers"},
		"explain a roll without the object store":      {args: roll, fault: objectsDown, want: "nothing was changed; run the same command again once the object store answers"},
		"explain a proposal without the object store":  {args: propose, fault: objectsDown, want: "nothing is in force yet; run the same command again"},
		"explain an approval without the table":        {args: approve, fault: tableDown, want: "nothing was changed; run the same command again once the table answers"},
		"explain an approval without the object store": {args: approve, fault: objectsDown, want: "nothing was changed; run the same command again"},
		"explain a status without the table": {
			args: func(*operatorFixture, string) []string { return []string{"status"} }, fault: tableDown, want: "the table did not tell which bundle is in force",
		},
		"explain a missing approval": {args: func(f *operatorFixture, first string) []string {
			digest := parseDigest(f.mustRun("propose", f.writeBundle("2", first, "13")))
			f.approve(digest, "juhan")
			return []string{"roll", digest, "--by", "juhan"}
		}, want: "version 2 has 1 of 2 approvals (juhan)"},
		"explain an unknown digest": {args: func(*operatorFixture, string) []string {
			return []string{"roll", strings.Repeat("0", 64), "--by", "mari"}
		}, want: `store the text with "bundle propose FILE"`},
		"refuse a key file that others can read": {args: func(f *operatorFixture, first string) []string {
			gomega.Expect(os.Chmod(f.file("juhan.key"), 0o640)).To(gomega.Succeed())
			return []string{"approve", first, "--by", "juhan", "--key", f.file("juhan.key")}
		}, want: "has permissions 0640: others may have read it"},
		"never overwrite a key file": {args: func(f *operatorFixture, _ string) []string {
			return []string{"keygen", "mari", f.file("mari.key")}
		}, want: "file exists"},
		"print every fault of a bundle": {args: func(f *operatorFixture, _ string) []string {
			return []string{"propose", f.writeFile("bad.ini", "[bundle]\nversion = x\nversoin = 1\n")}
		}, want: "bad.ini:3: [bundle] versoin: unknown key"},
		"name the operator who rolled first": {args: func(f *operatorFixture, first string) []string {
			ours := roll(f, first)
			other := parseDigest(f.mustRun("propose", f.writeBundle("2", first, "14")))
			f.approve(other, "mari")
			f.approve(other, "juhan")
			f.mustRun("roll", other, "--by", "juhan")
			return ours
		}, want: "operator juhan rolled version 2"},
	}, func(c commandCase) {
		f := newOperatorFixture()
		args := c.args(f, f.rollFirstVersion())
		if c.fault != nil {
			c.fault(f)
		}
		out, code := f.run(args...)
		gomega.Expect(code).To(gomega.Equal(1), out)
		gomega.Expect(out).To(gomega.ContainSubstring(c.want))
	})

	// Guards against a roll that took effect but is reported as failed because the reply to its write was lost.
	ginkgo.It("succeed with a roll whose reply was lost", func() {
		f := newOperatorFixture()
		args := roll(f, f.rollFirstVersion())
		f.platform.Table.Faults.LoseReplies("/table/swap", 1)
		gomega.Expect(f.mustRun(args...)).To(gomega.ContainSubstring("version 2 is in force, rolled by mari"))
	})

	// Guards against a private key that is sent to the table or the object store.
	ginkgo.It("keep private keys out of the table and the object store", func() {
		f := newOperatorFixture()
		f.mustRun(roll(f, f.rollFirstVersion())...)
		data, err := os.ReadFile(f.file("mari.key"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		lines := strings.Split(string(data), "\n")
		der, err := base64.StdEncoding.DecodeString(lines[1])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		seed := der[len(der)-32:]
		for _, stored := range f.platform.Stored() {
			gomega.Expect(bytes.Contains(stored, seed)).To(gomega.BeFalse())
			gomega.Expect(string(stored)).NotTo(gomega.ContainSubstring(base64.StdEncoding.EncodeToString(seed)))
			gomega.Expect(string(stored)).NotTo(gomega.ContainSubstring(lines[1]))
		}
	})

	// Guards against a rollback that takes effect without approval or does not show what it changes.
	ginkgo.It("roll back to old content as a new version", func() {
		f := newOperatorFixture()
		first := f.rollFirstVersion()
		f.mustRun(roll(f, first)...)
		out := f.mustRun("rollback", first)
		gomega.Expect(out).To(gomega.ContainSubstring("~ [model care] layers: 13 -> 12"))
		back := parseDigest(out)
		out, code := f.run("roll", back, "--by", "mari")
		gomega.Expect(code).To(gomega.Equal(1), out)
		f.approve(back, "mari")
		f.approve(back, "juhan")
		f.mustRun("roll", back, "--by", "mari")
		gomega.Expect(f.mustRun("status")).To(gomega.MatchRegexp(`head \(by mari\) +3 +` + back))
		gomega.Expect(f.mustRun("status", "--history", "5")).To(gomega.MatchRegexp(`(?s)earlier +2 .*earlier +1 +` + first))
		gomega.Expect(f.mustRun("diff", first, back)).To(gomega.ContainSubstring("~ [bundle] version: 1 -> 3"))
	})
})
