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

// Document is a parsed INI document that collects faults while it is read.
type Document struct {
	name   string
	clean  []byte // the lines without faults
	stubs  []stub
	places map[place]position
	faults Faults
	batch  int // index of the batch in file
	file   *ini.File
}

// place is a section, or a key of it.
type place struct {
	section string
	key     string
}

type position struct {
	line int
	stub int
}

// stub is where the lines of a section are in the clean text; one that appears twice has several ranges.
type stub struct {
	name   string
	ranges [][2]int
}

var newline = []byte("\n")

// Parse returns the document in text; name appears in faults. A syntax error is a fault of its line,
// and the other lines are still read.
func Parse(name string, text []byte) (d *Document) {
	d = &Document{name: name, places: make(map[place]position, bytes.Count(text, newline)), batch: -1}
	d.scan(text)
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
	for _, s := range d.stubs[batch*batchSize : min((batch+1)*batchSize, len(d.stubs))] {
		text.WriteString("[" + s.name + "]\n")
		for _, r := range s.ranges {
			text.Write(d.clean[r[0]:r[1]])
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
