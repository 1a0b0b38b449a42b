package bergamotini

import (
	"bufio"
	"bytes"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Document is a parsed INI document that collects faults while it is read.
type Document struct {
	name   string
	file   *ini.File
	lines  map[string]int
	faults Faults
}

// Parse returns the document in text; name appears in faults. A syntax error is a fault too.
func Parse(name string, text []byte) (d *Document) {
	d = &Document{name: name, lines: map[string]int{}}
	d.index(text)
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}, text)
	if err != nil {
		d.file = ini.Empty()
		d.add(1, "", "", err.Error())
		return d
	}
	d.file = file
	return d
}

// index notes the line of each section and key, which the parser does not keep.
func (d *Document) index(text []byte) {
	section := ""
	s := bufio.NewScanner(bytes.NewReader(text))
	s.Buffer(nil, len(text)+1)
	for n := 1; s.Scan(); n++ {
		line := strings.TrimSpace(s.Text())
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
			d.note(section, n, section, "", "section appears twice")
		default:
			key, _, _ := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			d.note(section+"\x00"+key, n, section, key, "key appears twice")
		}
	}
}

func (d *Document) note(at string, n int, section, key, text string) {
	if first, ok := d.lines[at]; ok {
		d.add(n, section, key, fmt.Sprintf("%s, first on line %d", text, first))
		return
	}
	d.lines[at] = n
}

func (d *Document) add(line int, section, key, text string) {
	d.faults = append(d.faults, Fault{file: d.name, line: line, section: section, key: key, text: text})
}

// Sections returns the sections in the order of the document.
func (d *Document) Sections() (out []*Section) {
	for _, s := range d.file.Sections() {
		if s.Name() == ini.DefaultSection {
			for _, k := range s.Keys() {
				d.add(d.lines["\x00"+k.Name()], "", k.Name(), "key stands before the first section")
			}
			continue
		}
		out = append(out, &Section{doc: d, section: s, used: map[string]bool{}})
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
