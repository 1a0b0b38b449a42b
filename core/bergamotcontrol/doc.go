// Package bergamotcontrol runs the control loop that owns the control state and publishes read-only views of it.
package bergamotcontrol
