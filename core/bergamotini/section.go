package bergamotini

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Section is one section of a document; reading a key marks it as known.
type Section struct {
	doc   *Document
	index int
	title string
	used  []string
}

// Kind returns the first word of the section's name.
func (s *Section) Kind() string {
	kind, _, _ := strings.Cut(s.title, " ")
	return kind
}

// Name returns what follows the first word of the section's name.
func (s *Section) Name() string {
	_, name, _ := strings.Cut(s.title, " ")
	return strings.TrimSpace(name)
}

// Values returns the value of each key.
func (s *Section) Values() (out map[string]string) {
	out = map[string]string{}
	for _, k := range s.doc.load(s.index).Keys() {
		out[k.Name()] = strings.TrimSpace(k.Value())
	}
	return out
}

// Title returns the whole name of the section.
func (s *Section) Title() string { return s.title }

// Fault records a fault of key, or of the section when key is empty.
func (s *Section) Fault(key, format string, a ...any) {
	s.doc.add(s.doc.line(s.index, key), s.title, key, fmt.Sprintf(format, a...))
}

// Has tells whether the key is set.
func (s *Section) Has(key string) bool { return s.doc.load(s.index).HasKey(key) }

// Text returns the value of key, or def when it is not set.
func (s *Section) Text(key, def string) string {
	if !slices.Contains(s.used, key) {
		s.used = append(s.used, key)
	}
	if !s.doc.load(s.index).HasKey(key) {
		return def
	}
	// String would expand "%(name)s" to the value of another key.
	return strings.TrimSpace(s.doc.load(s.index).Key(key).Value())
}

// Need returns the value of key and records a fault when it is empty.
func (s *Section) Need(key string) string {
	v := s.Text(key, "")
	if v == "" {
		s.Fault(key, "is required")
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

// Int returns the whole number of key between low and high, or def when it is not set.
func (s *Section) Int(key string, def, low, high int) int {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.Fault(key, "%q is not a whole number from %d to %d", v, low, high)
		return def
	}
	return n
}

// Float returns the number of key between low and high, or def when it is not set.
func (s *Section) Float(key string, def, low, high float64) float64 {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(n) || n < low || n > high {
		s.Fault(key, "%q is not a number from %g to %g", v, low, high)
		return def
	}
	return n
}

// Duration returns the duration of key between low and high, or def when it is not set.
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := time.ParseDuration(v)
	if err != nil || n < low || n > high {
		s.Fault(key, "%q is not a duration from %s to %s", v, low, high)
		return def
	}
	return n
}

// Done records a fault for each key that was not read; the section is not read after it.
func (s *Section) Done() {
	for _, k := range s.doc.load(s.index).Keys() {
		if !slices.Contains(s.used, k.Name()) {
			s.Fault(k.Name(), "unknown key")
		}
	}
	s.used = nil
}
