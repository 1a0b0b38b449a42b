package bergamotini

import (
	"bytes"
	"fmt"
	"slices"

	"gopkg.in/ini.v1"
)

// batchSize is how many sections are held in the form of the INI library at a time. That form takes about 2 KB
// for a section, which at 11,000 workspaces would be more than the 32 MB that an entry has for control.
const batchSize = 64

// Document is a parsed INI document that collects faults while it is read. It keeps the text and where its
// sections are, but neither a copy of the lines nor the place of each key: at 11,000 workspaces those took more
// memory than the parsed bundle. The lines of a section are read again when they are needed.
type Document struct {
	name   string
	text   []byte
	stubs  []stub
	index  map[string]int // stub of each section
	faults Faults
	batch  int // index of the batch in file
	file   *ini.File
}

// stub is where a section is in the text; one that appears twice has more than one range.
type stub struct {
	name  string
	first lines
	more  []lines
}

// lines is a range of bytes of the text below a header, which is on the given line.
type lines struct{ from, to, header int }

func (s *stub) ranges(yield func(lines) bool) {
	if !yield(s.first) {
		return
	}
	for _, r := range s.more {
		if !yield(r) {
			return
		}
	}
}

// Parse returns the document in text; name appears in faults. A syntax error is a fault of its line,
// and the other lines are still read. The caller must not change the text while the document is in use.
func Parse(name string, text []byte) (d *Document) {
	d = &Document{name: name, text: bytes.TrimPrefix(text, []byte("\ufeff")), index: map[string]int{}, batch: -1}
	d.scan()
	return d
}

// load returns a section in the form of the INI library.
func (d *Document) load(n int) *ini.Section {
	if batch := n / batchSize; batch != d.batch {
		d.batch, d.file = batch, d.loadBatch(batch)
	}
	return d.file.Section(d.stubs[n].name)
}

func (d *Document) loadBatch(batch int) *ini.File {
	var text bytes.Buffer
	seen := map[string]bool{}
	for n := batch * batchSize; n < min((batch+1)*batchSize, len(d.stubs)); n++ {
		text.WriteString("[" + d.stubs[n].name + "]\n")
		clear(seen)
		for _, p := range d.pairs(n) {
			// A key that appears twice has a fault already; its first value is checked.
			if !seen[p[0]] {
				seen[p[0]] = true
				text.WriteString(p[0] + " = " + p[1] + "\n")
			}
		}
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", IgnoreInlineComment: true, IgnoreContinuation: true, PreserveSurroundedQuote: true,
		// By default "[model a.b]" inherits the keys of "[model a]"; no section name contains this byte.
		ChildSectionDelimiter: "\x00",
	}, text.Bytes())
	if err != nil {
		d.add(1, "", "", err.Error())
		return ini.Empty()
	}
	return file
}

// line returns the line of the first appearance of a key in a section, or of the section's header.
func (d *Document) line(n int, key string) int {
	if key != "" {
		for line, p := range d.pairs(n) {
			if p[0] == key {
				return line
			}
		}
	}
	return d.stubs[n].first.header
}

func (d *Document) add(line int, section, key, text string) {
	d.faults = append(d.faults, Fault{file: d.name, line: max(line, 1), section: section, key: key, text: text})
}

// Sections returns the sections in the order of the document. Reading them in turn is fastest.
func (d *Document) Sections() (out []*Section) {
	for n, s := range d.stubs {
		out = append(out, &Section{doc: d, index: n, title: s.name})
	}
	return out
}

// Fault records a fault of the whole document.
func (d *Document) Fault(format string, a ...any) { d.add(1, "", "", fmt.Sprintf(format, a...)) }

// Faults returns all faults in the order of their lines, nil when there are none.
func (d *Document) Faults() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.line - b.line })
	return d.faults
}
