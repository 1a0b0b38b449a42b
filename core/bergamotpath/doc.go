// Package bergamotpath chooses the runners that execute the layers of a relayed request, from the declared speeds of
// the accelerators and the work that this entry has in flight.
package bergamotpath
