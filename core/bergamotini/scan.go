package bergamotini

import (
	"bytes"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// scanner checks the lines of a document and records the locations of its sections. The INI library stops at its first
// syntax error and lets quotes, backslashes and "-" keys change the meaning of the lines that follow, so that only lines
// without these are passed to it.
type scanner struct {
	doc      *Document
	section  string
	current  int // index of the current section, -1 before the first section and in one without a name
	line     int
	keys     map[string]int         // line number of each key of the current section
	interned map[string]string      // one copy of each key, so that keys does not keep the line of each key in memory
	repeated map[int]map[string]int // keys of each section that appears more than once, and under -1 those of sections without a name
}

var brackets = strings.NewReplacer("[", "", "]", "")

// scan records the locations of the sections and a fault for each malformed line.
func (d *Document) scan() {
	s := &scanner{doc: d, current: -1, keys: map[string]int{}, interned: map[string]string{}}
	s.repeated = map[int]map[string]int{-1: s.keys}
	at := 0
	for raw := range bytes.Lines(d.text) {
		s.line++
		if line := bytes.TrimSpace(raw); len(line) > 0 {
			s.scanLine(line, at, at+len(raw))
		}
		at += len(raw)
	}
	s.endSection(at)
}

// scanLine checks one line, which lies between two byte offsets of the text.
func (s *scanner) scanLine(line []byte, from, to int) {
	kind, key, value, fault := parseLine(line)
	switch {
	case kind == header:
		s.endSection(from)
		s.header(string(line), to)
	case fault != "":
		s.fault("", fault)
	case kind == pair:
		s.pair(key, value)
	}
}

func (s *scanner) header(line string, next int) {
	name, closed := strings.CutSuffix(line[1:], "]")
	// Spaces are normalised, since "[model  care]" and "[model care]" name the same section.
	s.section = strings.Join(strings.Fields(name), " ")
	switch {
	case !closed || strings.ContainsAny(s.section, "[]"):
		s.fault("", "section header must be [name] alone on its line")
	case s.section == "" || s.section == ini.DefaultSection:
		s.fault("", "unknown section")
	}
	s.section = brackets.Replace(s.section)
	if s.section == "" || s.section == ini.DefaultSection {
		// The default name tells the keys of this section from keys before the first section; fault omits it.
		s.section, s.current, s.keys = ini.DefaultSection, -1, s.repeated[-1]
		return
	}
	s.beginSection(lineRange{from: next, to: next, header: s.line})
}

// beginSection adds a section with the current name, or another range to it if it has appeared before.
func (s *scanner) beginSection(r lineRange) {
	n, ok := s.doc.locationIndex[s.section]
	if !ok {
		s.current = len(s.doc.locations)
		s.doc.locationIndex[s.section] = s.current
		s.doc.locations = append(s.doc.locations, sectionLocation{name: s.section, first: r})
		s.keys = map[string]int{} // not cleared, since repeated may hold the previous map
		return
	}
	s.current = n
	first := &s.doc.locations[n]
	s.fault("", fmt.Sprintf("section appears twice, first on line %d", first.first.header))
	if _, ok := s.repeated[n]; !ok {
		s.repeated[n] = map[string]int{}
		for line, p := range s.doc.pairs(n) {
			if _, ok := s.repeated[n][p[0]]; !ok {
				s.repeated[n][s.intern(p[0])] = line
			}
		}
	}
	s.keys = s.repeated[n]
	first.more = append(first.more, r)
}

// endSection sets the end of the current range of the current section.
func (s *scanner) endSection(at int) {
	if s.current < 0 {
		return
	}
	if location := &s.doc.locations[s.current]; len(location.more) > 0 {
		location.more[len(location.more)-1].to = at
	} else {
		location.first.to = at
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
		s.keys[s.intern(key)] = s.line
	}
}

// intern returns a copy of key that shares no memory with the text of its line.
func (s *scanner) intern(key string) string {
	word, ok := s.interned[key]
	if !ok {
		word = strings.Clone(key)
		s.interned[word] = word
	}
	return word
}

func (s *scanner) fault(key, text string) {
	section := s.section
	if section == ini.DefaultSection {
		section = ""
	}
	s.doc.addFault(s.line, section, key, text)
}
