// Package bergamotmember spreads hints between entries by gossip: who is alive, the head of the bundle, targets
// that leave or are dead, requests that crash targets, and demand by workspace. It is no agreement: every value may be
// old, and every value but a member's own expires.
package bergamotmember
