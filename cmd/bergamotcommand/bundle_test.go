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

// desk is the place of two operators: a platform, settings that trust both, and their key files.
type desk struct {
	dir      string
	platform *bergamotfake.Platform
	keys     map[string]string // public key by operator
}

func newDesk() *desk {
	d := &desk{dir: ginkgo.GinkgoT().TempDir(), platform: bergamotfake.NewPlatform(), keys: map[string]string{}}
	gomega.Expect(d.platform.Start("127.0.0.1:0")).To(gomega.Succeed())
	ginkgo.DeferCleanup(d.platform.Kill)
	for _, name := range []string{"mari", "juhan"} {
		out, code := d.run("keygen", name, d.file(name+".key"))
		gomega.Expect(code).To(gomega.Equal(0), out)
		d.keys[name] = regexp.MustCompile(`key = (\S+)`).FindStringSubmatch(out)[1]
	}
	settings, err := os.ReadFile(writeSettings("desk", d.platform.Address()))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	text, _, _ := strings.Cut(string(settings), "operators = mari:")
	d.write("desk.ini", text+"operators = mari:"+d.keys["mari"]+", juhan:"+d.keys["juhan"]+"\n")
	return d
}

func (d *desk) file(name string) string { return filepath.Join(d.dir, name) }

func (d *desk) write(name, text string) string {
	gomega.Expect(os.WriteFile(d.file(name), []byte(text), 0o600)).To(gomega.Succeed())
	return d.file(name)
}

// run runs one bundle command and returns all that it printed and its exit code.
func (d *desk) run(args ...string) (string, int) {
	var out bytes.Buffer
	if args[0] != "check" && args[0] != "keygen" {
		args = append(args, "--settings", d.file("desk.ini"))
	}
	code := bergamotcommand.Main(append([]string{"bundle"}, args...), &out, &out)
	return out.String(), code
}

// succeed runs a command that must succeed.
func (d *desk) succeed(args ...string) string {
	out, code := d.run(args...)
	gomega.Expect(code).To(gomega.Equal(0), out)
	return out
}

func digestIn(out string) string {
	return regexp.MustCompile(`digest=(\w+)`).FindStringSubmatch(out)[1]
}

func (d *desk) bundle(version, parent, layers string) string {
	return d.write("bundle"+version+".ini", "[bundle]\nversion = "+version+"\nparent = "+parent+"\nneeded = 2\n[model care]\nlayers = "+layers+
		"\n[operator mari]\nkey = "+d.keys["mari"]+"\n[operator juhan]\nkey = "+d.keys["juhan"]+"\n")
}

func (d *desk) approve(digest, name string) string {
	return d.succeed("approve", digest, "--by", name, "--key", d.file(name+".key"))
}

// first puts version 1 in force and returns its digest.
func (d *desk) first() string {
	digest := digestIn(d.succeed("propose", d.bundle("1", "", "12")))
	d.approve(digest, "mari")
	d.succeed("roll", digest, "--by", "mari")
	return digest
}

type commandCase struct {
	args  func(d *desk, first string) []string
	fault func(d *desk)
	want  string // part of the output
}

var _ = ginkgo.Describe("bundle commands", func() {
	// Guards against a failure that leaves an operator without knowing what happened or what to do.
	roll := func(d *desk, first string) []string {
		digest := digestIn(d.succeed("propose", d.bundle("2", first, "13")))
		d.approve(digest, "mari")
		d.approve(digest, "juhan")
		return []string{"roll", digest, "--by", "mari"}
	}
	propose := func(d *desk, first string) []string { return []string{"propose", d.bundle("2", first, "13")} }
	approve := func(d *desk, first string) []string {
		digest := digestIn(d.succeed("propose", d.bundle("2", first, "13")))
		return []string{"approve", digest, "--by", "juhan", "--key", d.file("juhan.key")}
	}
	tableDown := func(d *desk) { d.platform.Table.Faults.SetDown(true) }
	objectsDown := func(d *desk) { d.platform.Objects.Faults.SetDown(true) }
	bergamottest.Cases(map[string]commandCase{
		"explain a roll without the table":             {args: roll, fault: tableDown, want: "nothing was changed; run the same command again once the table answers"},
		"explain a roll without the object store":      {args: roll, fault: objectsDown, want: "nothing was changed; run the same command again once the object store answers"},
		"explain a proposal without the object store":  {args: propose, fault: objectsDown, want: "nothing is in force yet; run the same command again"},
		"explain an approval without the table":        {args: approve, fault: tableDown, want: "nothing was changed; run the same command again once the table answers"},
		"explain an approval without the object store": {args: approve, fault: objectsDown, want: "nothing was changed; run the same command again"},
		"explain a status without the table": {
			args: func(*desk, string) []string { return []string{"status"} }, fault: tableDown, want: "the table did not tell which bundle is in force",
		},
		"explain a missing approval": {args: func(d *desk, first string) []string {
			digest := digestIn(d.succeed("propose", d.bundle("2", first, "13")))
			d.approve(digest, "juhan")
			return []string{"roll", digest, "--by", "juhan"}
		}, want: "version 2 has 1 of 2 approvals (juhan)"},
		"explain an unknown digest": {args: func(*desk, string) []string {
			return []string{"roll", strings.Repeat("0", 64), "--by", "mari"}
		}, want: `store the text with "bundle propose FILE"`},
		"refuse a key file that others can read": {args: func(d *desk, first string) []string {
			gomega.Expect(os.Chmod(d.file("juhan.key"), 0o640)).To(gomega.Succeed())
			return []string{"approve", first, "--by", "juhan", "--key", d.file("juhan.key")}
		}, want: "has permissions 0640: others may have read it"},
		"never overwrite a key file": {args: func(d *desk, _ string) []string {
			return []string{"keygen", "mari", d.file("mari.key")}
		}, want: "file exists"},
		"print every fault of a bundle": {args: func(d *desk, _ string) []string {
			return []string{"propose", d.write("bad.ini", "[bundle]\nversion = x\nversoin = 1\n")}
		}, want: "bad.ini:3: [bundle] versoin: unknown key"},
		"tell who won a race": {args: func(d *desk, first string) []string {
			ours := roll(d, first)
			other := digestIn(d.succeed("propose", d.bundle("2", first, "14")))
			d.approve(other, "mari")
			d.approve(other, "juhan")
			d.succeed("roll", other, "--by", "juhan")
			return ours
		}, want: "operator juhan rolled version 2"},
	}, func(c commandCase) {
		d := newDesk()
		args := c.args(d, d.first())
		if c.fault != nil {
			c.fault(d)
		}
		out, code := d.run(args...)
		gomega.Expect(code).To(gomega.Equal(1), out)
		gomega.Expect(out).To(gomega.ContainSubstring(c.want))
	})

	// Guards against a lost reply that the command does not settle by itself.
	ginkgo.It("settle a roll whose reply was lost", func() {
		d := newDesk()
		args := roll(d, d.first())
		d.platform.Table.Faults.LoseReplies("/table/swap", 1)
		gomega.Expect(d.succeed(args...)).To(gomega.ContainSubstring("version 2 is in force, rolled by mari"))
	})

	// Guards against a private key that leaves its file.
	ginkgo.It("keep private keys out of the table and the object store", func() {
		d := newDesk()
		d.succeed(roll(d, d.first())...)
		data, err := os.ReadFile(d.file("mari.key"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		lines := strings.Split(string(data), "\n")
		der, err := base64.StdEncoding.DecodeString(lines[1])
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		seed := der[len(der)-32:]
		for _, stored := range d.platform.Stored() {
			gomega.Expect(bytes.Contains(stored, seed)).To(gomega.BeFalse())
			gomega.Expect(string(stored)).NotTo(gomega.ContainSubstring(base64.StdEncoding.EncodeToString(seed)))
			gomega.Expect(string(stored)).NotTo(gomega.ContainSubstring(lines[1]))
		}
	})

	// Guards against a rollback that skips approval or that shows no difference.
	ginkgo.It("roll back to old content as a new version", func() {
		d := newDesk()
		first := d.first()
		d.succeed(roll(d, first)...)
		out := d.succeed("rollback", first)
		gomega.Expect(out).To(gomega.ContainSubstring("~ [model care] layers: 13 -> 12"))
		back := digestIn(out)
		out, code := d.run("roll", back, "--by", "mari")
		gomega.Expect(code).To(gomega.Equal(1), out)
		d.approve(back, "mari")
		d.approve(back, "juhan")
		d.succeed("roll", back, "--by", "mari")
		gomega.Expect(d.succeed("status")).To(gomega.MatchRegexp(`head \(by mari\) +3 +` + back))
		gomega.Expect(d.succeed("status", "--history", "5")).To(gomega.MatchRegexp(`(?s)earlier +2 .*earlier +1 +` + first))
		gomega.Expect(d.succeed("diff", first, back)).To(gomega.ContainSubstring("~ [bundle] version: 1 -> 3"))
	})
})
