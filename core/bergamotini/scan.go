package bergamotini

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// scanner checks the lines of a document and notes where its sections are. The INI library stops at its first
// syntax error and lets quotes, backslashes and "-" keys change the meaning of following lines, so that only
// lines without such features reach it.
type scanner struct {
	doc      *Document
	section  string
	stub     int // index of the section, -1 before the first and in one without a name
	line     int
	keys     map[string]int         // lines of the keys of the current section
	words    map[string]string      // keys, so that a key does not hold the text of its line in memory
	repeated map[int]map[string]int // keys of the sections that appear more than once, and of those without a name
}

var brackets = strings.NewReplacer("[", "", "]", "")

// scan records a fault for each line that is not correct.
func (d *Document) scan() {
	s := &scanner{doc: d, stub: -1, keys: map[string]int{}, words: map[string]string{}}
	s.repeated = map[int]map[string]int{-1: s.keys}
	at := 0
	for raw := range bytes.Lines(d.text) {
		s.line++
		if line := bytes.TrimSpace(raw); len(line) > 0 {
			s.take(line, at, at+len(raw))
		}
		at += len(raw)
	}
	s.end(at)
}

// take reads one line, which is in the text from one offset to another.
func (s *scanner) take(line []byte, from, to int) {
	kind, key, value, fault := split(line)
	switch {
	case kind == header:
		s.end(from)
		s.header(string(line), to)
	case fault != "":
		s.fault("", fault)
	case kind == pair:
		s.pair(key, value)
	}
}

func (s *scanner) header(line string, next int) {
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
		s.section, s.stub, s.keys = ini.DefaultSection, -1, s.repeated[-1]
		return
	}
	s.begin(lines{from: next, to: next, header: s.line})
}

// begin starts the section with the current name, or goes on with it when it has appeared before.
func (s *scanner) begin(r lines) {
	n, ok := s.doc.index[s.section]
	if !ok {
		s.stub = len(s.doc.stubs)
		s.doc.index[s.section] = s.stub
		s.doc.stubs = append(s.doc.stubs, stub{name: s.section, first: r})
		s.keys = map[string]int{} // not cleared, since the old one may belong to a section that appears twice
		return
	}
	s.stub = n
	first := &s.doc.stubs[n]
	s.fault("", fmt.Sprintf("section appears twice, first on line %d", first.first.header))
	if _, ok := s.repeated[n]; !ok {
		s.repeated[n] = map[string]int{}
		for line, p := range s.doc.pairs(n) {
			if _, ok := s.repeated[n][p[0]]; !ok {
				s.repeated[n][s.word(p[0])] = line
			}
		}
	}
	s.keys = s.repeated[n]
	first.more = append(first.more, r)
}

// end notes where the lines of the current section end.
func (s *scanner) end(at int) {
	if s.stub < 0 {
		return
	}
	if c := &s.doc.stubs[s.stub]; len(c.more) > 0 {
		c.more[len(c.more)-1].to = at
	} else {
		c.first.to = at
	}
}

func (s *scanner) pair(key, value string) {
	switch first, ok := s.keys[key]; {
	case s.section == "":
		s.fault(key, "key stands before the first section")
	case isQuoted(value):
		s.fault(key, "value is written without quotes")
	case ok:
		s.fault(key, fmt.Sprintf("key appears twice, first on line %d", first))
	default:
		s.keys[s.word(key)] = s.line
	}
}

func (s *scanner) word(key string) string {
	word, ok := s.words[key]
	if !ok {
		word = strings.Clone(key)
		s.words[word] = word
	}
	return word
}

func (s *scanner) fault(key, text string) {
	section := s.section
	if section == ini.DefaultSection {
		section = ""
	}
	s.doc.add(s.line, section, key, text)
}
