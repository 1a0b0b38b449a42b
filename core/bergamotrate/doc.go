// Package bergamotrate shares the limits that runners name between all entries: the requests a second that a runner takes from all
// of them together. One entry, the owner, gives out a permit for each request to such a runner; the others ask it for permits, over
// the entries that they follow, at the moment when a request needs one. So the sum holds whatever the number of entries, and also
// while some of them stop, freeze or are cut off: a permit is used once, within permitTTL, or lost.
package bergamotrate
