package bergamotcontrol

import "bergamotspur/core/bergamotfleet"

// Observer passes what traffic learns about an instance to the control loop. It never blocks: if the inbox is full, the
// observation is dropped, and the next request that fails at the instance repeats it.
type Observer struct {
	Loop *Loop
}

// Refused records that the instance refused a connection.
func (o *Observer) Refused(instance string) { o.Loop.Post(newObservation(instance, false)) }

// Leaving records that the instance answered that it is leaving.
func (o *Observer) Leaving(instance string) { o.Loop.Post(newObservation(instance, true)) }

// newObservation returns an event that stops new work on an instance until the reply to a later probe shows that it is
// alive and not leaving. The list does not clear the mark, since it lags behind.
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
