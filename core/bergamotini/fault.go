package bergamotini

import (
	"fmt"
	"strings"
)

// Fault is an error in a document, with its file, line, section and key.
type Fault struct {
	file    string
	line    int
	section string
	key     string
	text    string
}

// String returns "file:line: [section] key: reason".
func (f Fault) String() string {
	s := fmt.Sprintf("%s:%d: ", f.file, f.line)
	if f.section != "" {
		s += "[" + f.section + "] "
	}
	if f.key != "" {
		s += f.key + ": "
	}
	return s + f.text
}

// Line returns the line number of the fault, counted from 1.
func (f Fault) Line() int { return f.line }

// Key returns the key of the fault, empty if it concerns a section or the document.
func (f Fault) Key() string { return f.key }

// Section returns the name of the section of the fault, empty if it concerns the document.
func (f Fault) Section() string { return f.section }

// Text returns the description of the fault.
func (f Fault) Text() string { return f.text }

// Faults is the error that lists all faults of a document.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}
