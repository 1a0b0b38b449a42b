package bergamotsetting

import (
	"net"
	"strconv"

	"bergamotspur/core/bergamotini"
)

// Settings is the validated settings of one entry, with one embedded struct per section.
type Settings struct {
	entry
	listen
	platform
	timing
	trust
	peers
}

// sectionReader reads the section with the given name, which may be required, into its part of the settings.
type sectionReader interface {
	section() string
	required() bool
	read(c *bergamotini.Section)
}

// sectionReaders returns the reader of each section, in the order of the documentation. A new section gets a struct and
// a file of its own.
func (s *Settings) sectionReaders() []sectionReader {
	return []sectionReader{&s.entry, &s.listen, &s.platform, &s.timing, &s.trust, &s.peers}
}

// Parse returns the settings in text, or bergamotini.Faults with every fault in them; name is the file name in faults.
func Parse(name string, text []byte) (s *Settings, err error) {
	doc := bergamotini.Parse(name, text)
	s = &Settings{timing: newTiming()}
	sections := map[string]*bergamotini.Section{}
	for _, c := range doc.Sections() {
		sections[c.Kind()+" "+c.Name()] = c
	}
	for _, r := range s.sectionReaders() {
		c, ok := sections[r.section()+" "]
		delete(sections, r.section()+" ")
		switch {
		case ok:
			r.read(c)
			c.FaultUnknownKeys()
		case r.required():
			doc.AddFault("section [%s] is required", r.section())
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

// address returns the value of key, which must be an IP address and a port, since an entry does not resolve host names.
func address(section *bergamotini.Section, key string) string {
	v := section.Required(key)
	if v != "" && !isAddress(v) {
		section.AddFault(key, "%q is not an IP address with a port", v)
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
