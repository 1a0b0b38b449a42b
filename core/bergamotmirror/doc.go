// Package bergamotmirror lets the entries of a data centre read the tables of the store through a few of them. These
// entries, the hubs, follow the store; all others follow a hub or another entry that does. Each entry keeps a copy of the
// tables that it reads, so that the calls to the store grow with the number of data centres and not with that of entries.
package bergamotmirror
