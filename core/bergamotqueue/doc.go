// Package bergamotqueue schedules waiting requests fairly between workspaces and grants them the slots of an entry.
package bergamotqueue
