// Package bergamotlease holds a lease in the table service with a fencing token that only grows.
//
// The lease alone makes no command safe: a monotonic clock may stand still while a machine is suspended, so that a
// holder can rely on a lease that has expired. Targets that check the fencing token reject its commands, and traffic
// verifies on every span what a target holds.
//
// When the table service is restored from an older copy, the row may be lost, or name an earlier holder. A record counts
// only in the era of the table service whose row it replaced. The holder whose grant has not ended by its own clock writes
// the lost row again. Every other entry waits for a term after it has first read the row, whatever that says: by then each
// grant of the era before has ended. The upper 32 bits of a fencing token are the era less one in which it was given
// out, so that none is given out twice.
package bergamotlease
