package bergamotini

import (
	"bytes"
	"fmt"
	"slices"

	"gopkg.in/ini.v1"
)

// Document is a parsed INI document that collects faults while it is read.
type Document struct {
	name   string
	file   *ini.File
	lines  map[place]int
	faults Faults
}

// place is where a section, or a key of it, stands.
type place struct {
	section string
	key     string
}

var newline = []byte("\n")

// Parse returns the document in text; name appears in faults. A syntax error is a fault of its line,
// and the other lines are still read.
func Parse(name string, text []byte) (d *Document) {
	d = &Document{name: name, lines: make(map[place]int, bytes.Count(text, newline))}
	clean := d.scan(text)
	file, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters: "=", IgnoreInlineComment: true, IgnoreContinuation: true, PreserveSurroundedQuote: true,
		// By default "[model a.b]" inherits the keys of "[model a]"; no section name contains this byte.
		ChildSectionDelimiter: "\x00",
	}, clean)
	if err != nil {
		d.file = ini.Empty()
		d.add(1, "", "", err.Error())
		return d
	}
	d.file = file
	return d
}

func (d *Document) add(line int, section, key, text string) {
	d.faults = append(d.faults, Fault{file: d.name, line: max(line, 1), section: section, key: key, text: text})
}

// Sections returns the sections in the order of the document.
func (d *Document) Sections() (out []*Section) {
	for _, s := range d.file.Sections() {
		if s.Name() != ini.DefaultSection {
			out = append(out, &Section{doc: d, section: s})
		}
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
