package bergamotentry

import (
	"fmt"

	"bergamotspur/core/bergamotfleet"
)

func newInstanceMessage(i bergamotfleet.Instance) InstanceMessage {
	m := InstanceMessage{
		Name: i.Name(), Role: i.Role(), Centre: i.DataCentre(), State: instanceState(i), Running: i.Load().Running(),
	}
	for _, h := range i.Holdings() {
		m.Layers = append(m.Layers, fmt.Sprintf("%s@%s:%d-%d", h.Model(), h.Version(), h.From(), h.To()))
	}
	return m
}

func instanceState(i bergamotfleet.Instance) string {
	switch {
	case i.Failed():
		return "failed"
	case i.Leaving():
		return "leaving"
	default:
		return "live"
	}
}
