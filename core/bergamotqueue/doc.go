// Package bergamotqueue orders waiting requests fairly between workspaces and grants the slots of an entry.
package bergamotqueue
