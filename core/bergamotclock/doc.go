// Package bergamotclock provides the system clock, an estimate of the clock of another machine, and a virtual clock for
// tests.
package bergamotclock
