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
	line    int
}

var brackets = strings.NewReplacer("[", "", "]", "")

// scan returns the lines that are correct and records a fault for each that is not.
func (d *Document) scan(text []byte) []byte {
	s := &scanner{doc: d}
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
	return s.out.Bytes()
}

func (s *scanner) header(line string) {
	name, closed := strings.CutSuffix(line[1:], "]")
	// Spaces are made uniform, since "[model  care]" and "[model care]" name the same section.
	s.section = strings.Join(strings.Fields(name), " ")
	switch {
	case !closed || strings.ContainsAny(s.section, "[]"):
		s.fault("", "section header must be [name] alone on its line")
	case s.section == "" || s.section == ini.DefaultSection:
		s.fault("", "unknown section")
	default:
		s.note(place{section: s.section}, "", "section appears twice")
	}
	s.section = brackets.Replace(s.section)
	if s.section == "" {
		s.section = ini.DefaultSection
	}
	s.out.WriteString("[" + s.section + "]\n")
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
	case s.note(place{section: s.section, key: key}, key, "key appears twice"):
		s.out.WriteString(key + " = " + value + "\n")
	}
}

// note keeps the line of a section or key and tells whether it is the first of its name.
func (s *scanner) note(at place, key, text string) bool {
	if first, ok := s.doc.lines[at]; ok {
		s.fault(key, fmt.Sprintf("%s, first on line %d", text, first))
		return false
	}
	s.doc.lines[at] = s.line
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
