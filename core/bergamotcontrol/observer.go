package bergamotcontrol

import "bergamotspur/core/bergamotfleet"

// Observer hands what traffic sees of an instance to the control loop. It never blocks: an observation that
// does not fit into the inbox is repeated by the next request that fails there.
type Observer struct {
	Loop *Loop
}

// Refused reports that the instance refused a connection.
func (o *Observer) Refused(instance string) { o.Loop.Post(newObservation(instance, false)) }

// Leaving reports that the instance answered that it is leaving.
func (o *Observer) Leaving(instance string) { o.Loop.Post(newObservation(instance, true)) }

// newObservation returns an event that stops new work on an instance until a report that was asked for
// later shows that it is alive and not leaving; the list alone does not bring it back, since it lags.
func newObservation(instance string, leaving bool) Event {
	return EventFunc(func(s *State) {
		i, ok := s.Instance(instance)
		if !ok {
			return
		}
		spec := i.Spec()
		spec.LastUnavailable = s.Now()
		spec.Leaving = spec.Leaving || leaving
		spec.Failed = spec.Failed || !leaving
		s.PutInstance(bergamotfleet.NewInstance(spec))
	})
}
