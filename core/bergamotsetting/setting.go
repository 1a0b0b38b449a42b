package bergamotsetting

import (
	"net"
	"strconv"

	"bergamotspur/core/bergamotini"
)

// Setting is the checked settings of one entry, one part for each section.
type Setting struct {
	entry
	listen
	platform
	timing
	trust
	peers
}

// reader reads one section into its part of the settings.
type reader interface {
	kind() string
	required() bool
	read(c *bergamotini.Section)
}

// readers returns the parts in the order of the documentation; a new section is a new part in a file of its own.
func (s *Setting) readers() []reader {
	return []reader{&s.entry, &s.listen, &s.platform, &s.timing, &s.trust, &s.peers}
}

// Parse returns the settings in text, or bergamotini.Faults with everything that is wrong in them.
func Parse(name string, text []byte) (s *Setting, err error) {
	doc := bergamotini.Parse(name, text)
	s = &Setting{timing: newTiming()}
	sections := map[string]*bergamotini.Section{}
	for _, c := range doc.Sections() {
		sections[c.Kind()+" "+c.Name()] = c
	}
	for _, r := range s.readers() {
		c, ok := sections[r.kind()+" "]
		delete(sections, r.kind()+" ")
		switch {
		case ok:
			r.read(c)
			c.FaultUnknownKeys()
		case r.required():
			doc.AddFault("section [%s] is required", r.kind())
		}
	}
	for _, c := range sections {
		c.AddFault("", "unknown section")
	}
	if err = doc.Faults(); err != nil {
		return nil, err
	}
	return s, nil
}

// address returns host and port; the host must be an IP address, since processes do not resolve names.
func address(c *bergamotini.Section, key string) string {
	v := c.Required(key)
	if v != "" && !isAddress(v) {
		c.AddFault(key, "%q is not an IP address with a port", v)
	}
	return v
}

func isAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}
