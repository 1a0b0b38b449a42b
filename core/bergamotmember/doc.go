// Package bergamotmember spreads hints between entries by gossip: which members are alive, the head, targets that are
// leaving or dead, requests that crash targets, and the demand by workspace. It is not a consensus protocol: any value
// may be outdated, and all values except a member's own expire.
package bergamotmember
