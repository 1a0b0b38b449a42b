package bergamotentry

import (
	"net/http"

	"bergamotspur/io/bergamotwire"
)

// StatusMessage is the JSON form of the state of an entry.
type StatusMessage struct {
	Entry          string            `json:"entry"`
	Centre         string            `json:"centre"`
	Ready          bool              `json:"ready"`
	Version        int64             `json:"version"`
	Digest         string            `json:"digest"`
	HeadAge        int64             `json:"confirmed"` // milliseconds since the last read of the head that confirmed the bundle, -1 for never
	MaxHeadAge     int64             `json:"limit"`     // milliseconds; HeadAge stays below it while the entry reaches the table
	Members        []MemberMessage   `json:"members"`
	ShortOfRunners []string          `json:"short,omitempty"` // models with too few runners; only the holder of the lease knows them
	Advice         string            `json:"next,omitempty"`  // what operators should do
	Instances      []InstanceMessage `json:"instances"`
	Pipelines      []PipelineMessage `json:"pipelines"`
}

// MemberMessage is the JSON form of an entry as this one sees it.
type MemberMessage struct {
	Name    string `json:"name"`
	State   string `json:"state"`
	Version int64  `json:"version"` // version of the newest head that it announced, 0 for none
}

// InstanceMessage is the JSON form of an instance as this entry sees it.
type InstanceMessage struct {
	Name    string   `json:"name"`
	Role    string   `json:"role"`
	Centre  string   `json:"centre"`
	State   string   `json:"state"`
	Running int      `json:"running"`
	Layers  []string `json:"layers,omitempty"`
}

// serveStatus writes the state of the entry as JSON.
func (e *Entry) serveStatus(w http.ResponseWriter, _ *http.Request) {
	v := e.View()
	m := StatusMessage{Entry: e.Setting.Name(), Centre: e.Setting.DataCentre(), Ready: e.isReady(), HeadAge: -1, Instances: []InstanceMessage{}}
	m.MaxHeadAge, m.Members, m.ShortOfRunners, m.Advice = e.maxHeadAge().Milliseconds(), newMemberMessages(v), v.ShortOfRunners(), e.advice(v)
	if at := v.ConfirmedAt(); !at.IsZero() {
		m.HeadAge = e.clock.Now().Sub(at).Milliseconds()
	}
	if b := v.Bundle(); b != nil {
		m.Version, m.Digest = b.Version(), b.Digest()
		m.Pipelines = e.trafficControl.pipelineMessages(v)
	}
	for _, i := range v.Fleet().Instances() {
		m.Instances = append(m.Instances, newInstanceMessage(i))
	}
	bergamotwire.Write(w, http.StatusOK, m)
}
