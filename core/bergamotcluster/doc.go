// Package bergamotcluster holds the control state of an entry that relays requests, and its controllers: the
// configuration in force, the runners, the entries, and the placement of layers.
package bergamotcluster
