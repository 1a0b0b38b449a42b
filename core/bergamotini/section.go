package bergamotini

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section is a section of a document. It records the keys that are read, so that FaultUnknownKeys finds the others.
type Section struct {
	doc      *Document
	index    int
	title    string
	readKeys []string
}

// Kind returns the first word of the section's name.
func (s *Section) Kind() string {
	kind, _, _ := strings.Cut(s.title, " ")
	return kind
}

// Name returns the section's name without its first word.
func (s *Section) Name() string {
	_, name, _ := strings.Cut(s.title, " ")
	return strings.TrimSpace(name)
}

// Values returns the values of the section by key.
func (s *Section) Values() (out map[string]string) {
	out = map[string]string{}
	for _, k := range s.doc.loadSection(s.index).Keys() {
		out[k.Name()] = strings.TrimSpace(k.Value())
	}
	return out
}

// Title returns the whole name of the section.
func (s *Section) Title() string { return s.title }

// AddFault records a fault of key, or of the section if key is empty.
func (s *Section) AddFault(key, format string, a ...any) {
	s.doc.addFault(s.doc.line(s.index, key), s.title, key, fmt.Sprintf(format, a...))
}

// Has reports whether key is set.
func (s *Section) Has(key string) bool { return s.doc.loadSection(s.index).HasKey(key) }

// Text returns the value of key, or def if it is not set.
func (s *Section) Text(key, def string) string {
	if !slices.Contains(s.readKeys, key) {
		s.readKeys = append(s.readKeys, key)
	}
	if !s.doc.loadSection(s.index).HasKey(key) {
		return def
	}
	// Key.String would replace "%(name)s" by the value of another key.
	return strings.TrimSpace(s.doc.loadSection(s.index).Key(key).Value())
}

// Required returns the value of key and records a fault if it is empty.
func (s *Section) Required(key string) string {
	v := s.Text(key, "")
	if v == "" {
		s.AddFault(key, "is required")
	}
	return v
}

// List returns the comma-separated values of key.
func (s *Section) List(key string) (out []string) {
	for _, v := range strings.Split(s.Text(key, ""), ",") {
		if v = strings.TrimSpace(v); v != "" {
			out = append(out, v)
		}
	}
	return out
}

// Int returns the whole number of key, or def if it is not set. It records a fault and returns def if the value is not a
// whole number from low to high.
func (s *Section) Int(key string, def, low, high int) int {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.AddFault(key, "%q is not a whole number from %d to %d", v, low, high)
		return def
	}
	return n
}

// Float returns the number of key, or def if it is not set. It records a fault and returns def if the value is not a
// number from low to high.
func (s *Section) Float(key string, def, low, high float64) float64 {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || n < low || n > high {
		s.AddFault(key, "%q is not a number from %g to %g", v, low, high)
		return def
	}
	return n
}

// Duration returns the duration of key, or def if it is not set. It records a fault and returns def if the value is not
// a duration from low to high.
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := time.ParseDuration(v)
	if err != nil || n < low || n > high {
		s.AddFault(key, "%q is not a duration from %s to %s", v, low, high)
		return def
	}
	return n
}

// FaultUnknownKeys records a fault for each key that was not read. It must come after all reads of the section.
func (s *Section) FaultUnknownKeys() {
	for _, k := range s.doc.loadSection(s.index).Keys() {
		if !slices.Contains(s.readKeys, k.Name()) {
			s.AddFault(k.Name(), "unknown key")
		}
	}
	s.readKeys = nil
}
