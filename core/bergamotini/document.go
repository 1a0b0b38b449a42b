package bergamotini

import (
	"bytes"
	"fmt"
	"slices"

	"gopkg.in/ini.v1"
)

// batchSize is the number of sections that the INI library parses and holds at a time. It takes about 2 KB per section,
// which at 11,000 workspaces would be more than the 32 MB that an entry has for control.
const batchSize = 64

// Document is a parsed INI document that collects faults while it is read. It keeps the text and the location of each
// section. It keeps no copy of the lines and no location of each key, which at 11,000 workspaces took more memory than
// the parsed bundle; the lines of a section are scanned again when they are needed.
type Document struct {
	name          string
	text          []byte
	locations     []sectionLocation
	locationIndex map[string]int // index in locations, by name of the section
	faults        Faults
	batch         int // index of the batch that file holds, -1 for none
	file          *ini.File
}

// sectionLocation is the location of a section in the text. A section that appears more than once has several ranges.
type sectionLocation struct {
	name  string
	first lineRange
	more  []lineRange
}

// lineRange is the range of the lines below a section header, as byte offsets, and the line number of the header.
type lineRange struct{ from, to, header int }

func (s *sectionLocation) ranges(yield func(lineRange) bool) {
	if !yield(s.first) {
		return
	}
	for _, r := range s.more {
		if !yield(r) {
			return
		}
	}
}

// Parse returns the document in text; name is the file name in faults. A syntax error is recorded as a fault of its
// line, and the other lines are still read. The caller must not change text while the document is in use.
func Parse(name string, text []byte) (d *Document) {
	d = &Document{name: name, text: bytes.TrimPrefix(text, []byte("\ufeff")), locationIndex: map[string]int{}, batch: -1}
	d.scan()
	return d
}

// loadSection returns section n as parsed by the INI library.
func (d *Document) loadSection(n int) *ini.Section {
	if batch := n / batchSize; batch != d.batch {
		d.batch, d.file = batch, d.loadBatch(batch)
	}
	return d.file.Section(d.locations[n].name)
}

func (d *Document) loadBatch(batch int) *ini.File {
	var text bytes.Buffer
	seen := map[string]bool{}
	for n := batch * batchSize; n < min((batch+1)*batchSize, len(d.locations)); n++ {
		text.WriteString("[" + d.locations[n].name + "]\n")
		clear(seen)
		for _, p := range d.pairs(n) {
			// A key that appears twice already has a fault; only its first value is read.
			if !seen[p[0]] {
				seen[p[0]] = true
				text.WriteString(p[0] + " = " + p[1] + "\n")
			}
		}
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", IgnoreInlineComment: true, IgnoreContinuation: true, PreserveSurroundedQuote: true,
		// By default "[model a.b]" inherits the keys of "[model a]". No section name contains this byte, which turns the
		// inheritance off.
		ChildSectionDelimiter: "\x00",
	}, text.Bytes())
	if err != nil {
		d.addFault(1, "", "", err.Error())
		return ini.Empty()
	}
	return file
}

// line returns the line number of the first occurrence of key in section n, or of its header if it has no such key.
func (d *Document) line(n int, key string) int {
	if key != "" {
		for line, p := range d.pairs(n) {
			if p[0] == key {
				return line
			}
		}
	}
	return d.locations[n].first.header
}

func (d *Document) addFault(line int, section, key, text string) {
	d.faults = append(d.faults, Fault{file: d.name, line: max(line, 1), section: section, key: key, text: text})
}

// Sections returns the sections in the order of the document. Reading them in this order parses each batch once.
func (d *Document) Sections() (out []*Section) {
	for n, s := range d.locations {
		out = append(out, &Section{doc: d, index: n, title: s.name})
	}
	return out
}

// AddFault records a fault that concerns the whole document.
func (d *Document) AddFault(format string, a ...any) {
	d.addFault(1, "", "", fmt.Sprintf(format, a...))
}

// Faults returns all faults in the order of their lines, or nil if there are none.
func (d *Document) Faults() error {
	if len(d.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.line - b.line })
	return d.faults
}
