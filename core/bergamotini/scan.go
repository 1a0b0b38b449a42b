package bergamotini

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// scanner checks the lines of a document and notes the line of each section and key, which the INI library
// does not keep. The library stops at its first syntax error and lets quotes, backslashes and "-" keys
// change the meaning of following lines, so that only lines without such features reach it.
type scanner struct {
	doc     *Document
	out     bytes.Buffer
	section string
	stub    int // index of the section, -1 before the first and in one without a name
	line    int
	words   map[string]string // keys, so that a key does not hold the text of its line in memory
}

var brackets = strings.NewReplacer("[", "", "]", "")

// scan keeps the lines that are correct and records a fault for each that is not.
func (d *Document) scan(text []byte) {
	s := &scanner{doc: d, stub: -1, words: map[string]string{}}
	s.out.Grow(len(text))
	for raw := range bytes.Lines(bytes.TrimPrefix(text, []byte("\ufeff"))) {
		s.line++
		line := string(bytes.TrimSpace(raw))
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case !utf8.ValidString(line) || strings.ContainsFunc(line, isControl):
			s.fault("", "line contains a control character or is not UTF-8")
		case line[0] == '[':
			s.header(line)
		default:
			s.pair(line)
		}
	}
	s.end()
	d.clean = s.out.Bytes()
}

func (s *scanner) header(line string) {
	s.end()
	name, closed := strings.CutSuffix(line[1:], "]")
	// Spaces are made uniform, since "[model  care]" and "[model care]" name the same section.
	s.section = strings.Join(strings.Fields(name), " ")
	switch {
	case !closed || strings.ContainsAny(s.section, "[]"):
		s.fault("", "section header must be [name] alone on its line")
	case s.section == "" || s.section == ini.DefaultSection:
		s.fault("", "unknown section")
	}
	s.section = brackets.Replace(s.section)
	if s.section == "" || s.section == ini.DefaultSection {
		// The name stands for its keys in faults only.
		s.section, s.stub = ini.DefaultSection, -1
		return
	}
	s.begin()
}

// begin starts the section with the current name, or goes on with it when it has appeared before.
func (s *scanner) begin() {
	at := place{section: s.section}
	if first, ok := s.doc.places[at]; ok {
		s.fault("", fmt.Sprintf("section appears twice, first on line %d", first.line))
		s.stub = first.stub
	} else {
		s.stub = len(s.doc.stubs)
		s.doc.places[at] = position{line: s.line, stub: s.stub}
		s.doc.stubs = append(s.doc.stubs, stub{name: s.section})
	}
	r := &s.doc.stubs[s.stub].ranges
	*r = append(*r, [2]int{s.out.Len(), s.out.Len()})
}

// end notes where the lines of the current section end.
func (s *scanner) end() {
	if s.stub >= 0 {
		r := s.doc.stubs[s.stub].ranges
		r[len(r)-1][1] = s.out.Len()
	}
}

func (s *scanner) pair(line string) {
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	switch {
	case !found:
		s.fault("", "line is not a section, a comment or key = value")
	case !isWord(key):
		s.fault("", fmt.Sprintf("key %q is not a lower-case word", key))
	case s.section == "":
		s.fault(key, "key stands before the first section")
	case value != "" && strings.ContainsRune("\"'`", rune(value[0])):
		s.fault(key, "value is written without quotes")
	case s.first(key) && s.stub >= 0:
		s.out.WriteString(key + " = " + value + "\n")
	}
}

// first notes the line of a key and tells whether it is the first of its name.
func (s *scanner) first(key string) bool {
	word, ok := s.words[key]
	if !ok {
		word = strings.Clone(key)
		s.words[word] = word
	}
	at := place{section: s.section, key: word}
	if first, ok := s.doc.places[at]; ok {
		s.fault(key, fmt.Sprintf("key appears twice, first on line %d", first.line))
		return false
	}
	s.doc.places[at] = position{line: s.line}
	return true
}

func (s *scanner) fault(key, text string) {
	section := s.section
	if section == ini.DefaultSection {
		section = ""
	}
	s.doc.add(s.line, section, key, text)
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func isWord(key string) bool {
	for _, r := range key {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' {
			return false
		}
	}
	return key != ""
}
