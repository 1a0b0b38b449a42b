// Package bergamotcontrol runs the control loop of an entry, which owns the control state and publishes read-only views
// of it.
package bergamotcontrol
