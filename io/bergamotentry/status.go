package bergamotentry

import (
	"net/http"

	"bergamotspur/io/bergamotwire"
)

// StatusMessage is the JSON form of the state of an entry.
type StatusMessage struct {
	Entry     string            `json:"entry"`
	Centre    string            `json:"centre"`
	Ready     bool              `json:"ready"`
	Version   int64             `json:"version"`
	Digest    string            `json:"digest"`
	Confirmed int64             `json:"confirmed"` // milliseconds since the head was last read, -1 for never
	Limit     int64             `json:"limit"`     // milliseconds; an entry that reaches the table stays below
	Members   []MemberMessage   `json:"members"`
	Short     []string          `json:"short,omitempty"` // models with too few runners, from the holder of the lease
	Next      string            `json:"next,omitempty"`  // what operators should do
	Instances []InstanceMessage `json:"instances"`
	Pipelines []PipelineMessage `json:"pipelines"`
}

// MemberMessage is the JSON form of one entry as another one sees it.
type MemberMessage struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Version int64  `json:"version"` // newest head that it told this entry, 0 for none
}

// InstanceMessage is the JSON form of one instance as the entry sees it.
type InstanceMessage struct {
	Name    string   `json:"name"`
	Role    string   `json:"role"`
	Centre  string   `json:"centre"`
	State   string   `json:"state"`
	Running int      `json:"running"`
	Layers  []string `json:"layers,omitempty"`
}

// status writes the state of the entry.
func (e *Entry) status(w http.ResponseWriter, _ *http.Request) {
	v := e.View()
	m := StatusMessage{Entry: e.Setting.Name(), Centre: e.Setting.DataCentre(), Ready: e.ready(), Confirmed: -1, Instances: []InstanceMessage{}}
	m.Limit, m.Members, m.Short, m.Next = e.headLimit().Milliseconds(), members(v), v.ShortOfRunners(), e.next(v)
	if at := v.Confirmed(); !at.IsZero() {
		m.Confirmed = e.clock.Now().Sub(at).Milliseconds()
	}
	if b := v.Bundle(); b != nil {
		m.Version, m.Digest = b.Version(), b.Digest()
		m.Pipelines = e.load.pipelines(v)
	}
	for _, i := range v.Fleet().Instances() {
		m.Instances = append(m.Instances, newInstanceMessage(i))
	}
	bergamotwire.Write(w, http.StatusOK, m)
}
