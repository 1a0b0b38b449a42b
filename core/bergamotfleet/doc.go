// Package bergamotfleet describes the instances behind the entries as one entry sees them.
package bergamotfleet
