package bergamotsetting

import (
	"net"
	"time"

	"bergamotspur/core/bergamotini"
)

// Setting is the checked settings of one entry.
type Setting struct {
	name      string
	centre    string
	callers   string
	operators string
	peers     string
	table     string
	objects   string
	weights   string
	list      string
	drain     time.Duration
	stall     time.Duration
	probe     time.Duration
	head      time.Duration
	poll      time.Duration
	attempts  int
}

// Parse returns the settings in text, or bergamotini.Faults with everything that is wrong in them.
func Parse(name string, text []byte) (s *Setting, err error) {
	doc := bergamotini.Parse(name, text)
	s = &Setting{}
	seen := map[string]bool{}
	readers := map[string]func(*bergamotini.Section){
		"entry": s.entry, "listen": s.listen, "platform": s.platform, "timing": s.timing,
	}
	for _, section := range doc.Sections() {
		read, ok := readers[section.Kind()]
		if !ok || section.Name() != "" {
			section.Fault("", "unknown section")
			continue
		}
		seen[section.Kind()] = true
		read(section)
		section.Done()
	}
	for _, kind := range []string{"entry", "listen", "platform"} {
		if !seen[kind] {
			doc.Fault("section [%s] is required", kind)
		}
	}
	if !seen["timing"] {
		s.defaults()
	}
	if err = doc.Faults(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Setting) entry(c *bergamotini.Section) {
	s.name = c.Need("name")
	s.centre = c.Need("centre")
}

func (s *Setting) listen(c *bergamotini.Section) {
	s.callers = address(c, "callers")
	s.operators = address(c, "operators")
}

func (s *Setting) platform(c *bergamotini.Section) {
	s.table = address(c, "table")
	s.objects = address(c, "objects")
	s.weights = address(c, "weights")
	s.list = address(c, "list")
}

func (s *Setting) timing(c *bergamotini.Section) {
	s.defaults()
	s.drain = c.Duration("drain", s.drain, time.Millisecond, time.Hour)
	s.stall = c.Duration("stall", s.stall, 10*time.Millisecond, time.Hour)
	s.probe = c.Duration("probe", s.probe, 10*time.Millisecond, time.Minute)
	s.head = c.Duration("head", s.head, 10*time.Millisecond, time.Minute)
	s.poll = c.Duration("poll", s.poll, 10*time.Millisecond, time.Minute)
	s.attempts = c.Int("attempts", s.attempts, 1, 100)
}

func (s *Setting) defaults() {
	s.drain = 30 * time.Second
	s.stall = 3 * time.Second
	s.probe = time.Second
	s.head = 2 * time.Second
	s.poll = time.Second
	s.attempts = 5
}

// address returns host and port; the host must be an IP address, since processes do not resolve names.
func address(c *bergamotini.Section, key string) string {
	v := c.Need(key)
	if v == "" {
		return ""
	}
	host, _, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		c.Fault(key, "%q is not an IP address with a port", v)
	}
	return v
}

// Name returns the unique name of the entry.
func (s *Setting) Name() string { return s.name }

// DataCentre returns the data centre of the entry.
func (s *Setting) DataCentre() string { return s.centre }

// Callers returns the address that callers use.
func (s *Setting) Callers() string { return s.callers }

// Operators returns the address of health, metrics and status.
func (s *Setting) Operators() string { return s.operators }

// Table returns the address of the table service.
func (s *Setting) Table() string { return s.table }

// Objects returns the address of the object store.
func (s *Setting) Objects() string { return s.objects }

// Weights returns the address of the weight store.
func (s *Setting) Weights() string { return s.weights }

// List returns the address of the instance list.
func (s *Setting) List() string { return s.list }

// Drain returns the longest time that a shutdown waits for requests in flight.
func (s *Setting) Drain() time.Duration { return s.drain }

// Stall returns the longest silence of a token stream.
func (s *Setting) Stall() time.Duration { return s.stall }

// Probe returns the time between two probes of an instance.
func (s *Setting) Probe() time.Duration { return s.probe }

// Head returns the time between two reads of the bundle head.
func (s *Setting) Head() time.Duration { return s.head }

// Poll returns the time between two reads of the instance list.
func (s *Setting) Poll() time.Duration { return s.poll }

// Attempts returns the most attempts for one answer.
func (s *Setting) Attempts() int { return s.attempts }
