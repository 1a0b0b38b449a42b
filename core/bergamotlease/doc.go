// Package bergamotlease holds a lease in the table service with a fencing number that only grows.
//
// The lease alone makes no command safe: a monotonic clock may stand still while a machine is suspended, so that a
// holder can believe in a lease that has ended. Targets that check the fencing number reject its commands, and traffic
// verifies on every span what a target holds.
package bergamotlease
