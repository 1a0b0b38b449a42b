package bergamotdetour

import "time"

// Branch is an entry that others follow, with the number of entries that read through it, including itself.
type Branch struct {
	Helper
	entries int
}

// NewBranch returns the branch of an entry through which a number of entries read, including itself.
func NewBranch(h Helper, entries int) Branch { return Branch{Helper: h, entries: entries} }

// Entries returns how many entries read through the branch.
func (b Branch) Entries() int { return b.entries }

// Listing is what an entry says about itself and the entries that it knows.
type Listing struct {
	answer    Answer
	left      time.Duration
	followers []Branch
	hubs      []Branch
	helpers   []Helper
}

// NewListing returns the listing of an entry: AnswerConnected if it opens connections for others, otherwise why not, the entries that
// follow it, the hubs of all data centres if it is one, and helpers that it has found itself.
func NewListing(a Answer, followers, hubs []Branch, helpers []Helper) Listing {
	return Listing{answer: a, followers: followers, hubs: hubs, helpers: helpers}
}

// WithLeft returns the listing of an entry that is stopping and helps for a time more.
func (l Listing) WithLeft(left time.Duration) Listing {
	l.left = left
	return l
}

// Answer returns AnswerConnected if the entry opens connections for others, otherwise why not.
func (l Listing) Answer() Answer { return l.answer }

// Left returns for how long an entry that is stopping still helps, 0 if it does not.
func (l Listing) Left() time.Duration { return l.left }

// Followers returns the entries that follow the entry.
func (l Listing) Followers() []Branch { return l.followers }

// Hubs returns the hubs of all data centres if the entry is one.
func (l Listing) Hubs() []Branch { return l.hubs }

// Helpers returns helpers that the entry has found itself.
func (l Listing) Helpers() []Helper { return l.helpers }
