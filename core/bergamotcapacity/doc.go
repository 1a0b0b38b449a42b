// Package bergamotcapacity estimates the free capacity of the runners of a service, divides it between the entries, and
// decides which requests an entry sends at once, which wait and which are refused. It reads no clock, has no source of
// random numbers and does no I/O.
package bergamotcapacity
