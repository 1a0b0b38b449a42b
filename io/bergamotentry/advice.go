package bergamotentry

import (
	"strings"
	"time"

	"bergamotspur/core/bergamotcontrol"
)

// headLimit returns the age of the head that an entry which reaches the table does not exceed: the longest time between
// two reads, which is 125 % of the mean, and the time of one read.
func (e *Entry) headLimit() time.Duration { return e.Setting.HeadInterval()*5/4 + headTimeout }

// next returns what operators should do, empty when nothing is to be done.
func (e *Entry) next(v *bergamotcontrol.View) string {
	var out []string
	switch {
	case e.drain.Draining():
		out = append(out, "nothing: the entry is shutting down")
	case v.Bundle() == nil:
		out = append(out, "see the lines with \"heads:\" in its log; without any, no bundle was rolled out: use \"bundle roll\"")
	case v.Confirmed().IsZero() || e.clock.Now().Sub(v.Confirmed()) > e.headLimit():
		out = append(out, "check that the entry reaches the table; it serves with the bundle that it has")
	}
	if len(v.ShortOfRunners()) > 0 {
		out = append(out, "add runners or lower replicas of "+strings.Join(v.ShortOfRunners(), ", "))
	}
	if e.peers != nil && v.Entries() == 1 && v.Members() != nil && len(v.Members().Members()) > 1 {
		out = append(out, "check that it reaches the address for peers of other entries and that its certificate is valid")
	}
	return strings.Join(out, "; ")
}

// members returns the entries that v knows, in the order of their names; it is empty without peers.
func members(v *bergamotcontrol.View) []MemberMessage {
	out := []MemberMessage{}
	if v.Members() == nil {
		return out
	}
	for _, name := range v.Members().Members() {
		s, _ := v.Members().State(name)
		h, _ := v.Members().MemberHead(name)
		out = append(out, MemberMessage{Name: name, State: s.String(), Version: h.Version()})
	}
	return out
}
