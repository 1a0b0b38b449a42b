package bergamotentry

import (
	"strings"
	"time"

	"bergamotspur/core/bergamotcontrol"
)

// maxHeadAge returns the largest age of the head at an entry that reaches the table: the longest time between two reads,
// which is 125 % of the mean, plus the timeout of one read.
func (e *Entry) maxHeadAge() time.Duration { return e.Setting.HeadInterval()*5/4 + headTimeout }

// advice returns what operators should do, empty when there is nothing to do.
func (e *Entry) advice(v *bergamotcontrol.View) string {
	var out []string
	switch {
	case e.drain.IsDraining():
		out = append(out, "nothing: the entry is shutting down")
	case v.Bundle() == nil:
		out = append(out, "see the lines with \"heads:\" in its log; without any, no bundle was rolled out: use \"bundle roll\"")
	case v.ConfirmedAt().IsZero() || e.clock.Now().Sub(v.ConfirmedAt()) > e.maxHeadAge():
		out = append(out, "check that the entry reaches the table; it serves with the bundle that it has")
	}
	if len(v.ShortOfRunners()) > 0 {
		out = append(out, "add runners or lower replicas of "+strings.Join(v.ShortOfRunners(), ", "))
	}
	if e.peers != nil && v.EntryCount() == 1 && v.Members() != nil && len(v.Members().Members()) > 1 {
		out = append(out, "check that it reaches the address for peers of other entries and that its certificate is valid")
	}
	return strings.Join(out, "; ")
}

// newMemberMessages returns the entries that v knows, sorted by name; it is empty without peers.
func newMemberMessages(v *bergamotcontrol.View) []MemberMessage {
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
