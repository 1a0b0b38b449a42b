// Package bergamotclock provides the real clock and a virtual clock for tests.
package bergamotclock
