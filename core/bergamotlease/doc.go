// Package bergamotlease holds a lease in the table service with a fencing token that only grows.
//
// The lease alone makes no command safe: a monotonic clock may stand still while a machine is suspended, so that a
// holder can rely on a lease that has expired. Targets that check the fencing token reject its commands, and traffic
// verifies on every span what a target holds.
package bergamotlease
