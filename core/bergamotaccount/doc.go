// Package bergamotaccount accounts for the memory that callers, runners, other entries and the store make a process hold.
package bergamotaccount
