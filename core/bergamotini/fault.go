package bergamotini

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a document.
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

// Line returns the line of the fault, from 1.
func (f Fault) Line() int { return f.line }

// Key returns the key of the fault, empty when it concerns a section or the document.
func (f Fault) Key() string { return f.key }

// Section returns the section of the fault, empty when it concerns the document.
func (f Fault) Section() string { return f.section }

// Text returns the reason.
func (f Fault) Text() string { return f.text }

// Faults is every fault of a document, as one error.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}
