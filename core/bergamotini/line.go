package bergamotini

import (
	"bytes"
	"fmt"
	"iter"
	"strings"
	"unicode/utf8"
)

// Kinds of lines.
const (
	comment = iota
	header
	pair
)

// parseLine returns the kind of a line that is not empty, the key and value of a pair, and the fault of a malformed
// line. It does not check section headers.
func parseLine(line []byte) (kind int, key, value, fault string) {
	switch {
	case line[0] == '#' || line[0] == ';':
		return comment, "", "", ""
	case !utf8.Valid(line) || bytes.ContainsFunc(line, isControl):
		return pair, "", "", "line contains a control character or is not UTF-8"
	case line[0] == '[':
		return header, "", "", ""
	}
	k, v, found := strings.Cut(string(line), "=")
	k, v = strings.TrimSpace(k), strings.TrimSpace(v)
	switch {
	case !found:
		return pair, "", "", "line is not a section, a comment or key = value"
	case !isKey(k):
		return pair, "", "", fmt.Sprintf("key %q is not a lower-case word", k)
	}
	return pair, k, v, ""
}

// pairs yields the line number, key and value of each well-formed key-value line of section n.
func (d *Document) pairs(n int) iter.Seq2[int, [2]string] {
	return func(yield func(int, [2]string) bool) {
		for r := range d.locations[n].ranges {
			line := r.header
			for raw := range bytes.Lines(d.text[r.from:r.to]) {
				line++
				text := bytes.TrimSpace(raw)
				if len(text) == 0 {
					continue
				}
				kind, key, value, fault := parseLine(text)
				if kind != pair || fault != "" || isQuoted(value) {
					continue
				}
				if !yield(line, [2]string{key, value}) {
					return
				}
			}
		}
	}
}

func isQuoted(value string) bool {
	return value != "" && strings.ContainsRune("\"'`", rune(value[0]))
}

func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

func isKey(key string) bool {
	for _, r := range key {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '_' {
			return false
		}
	}
	return key != ""
}
