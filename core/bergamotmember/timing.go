package bergamotmember

import "time"

// Intervals and limits of the protocol. With 840 members, each link carries one heartbeat in 2 s. A member has about 5
// links of its own and 5 of others and takes part in 5 exchanges per second; news takes ln(840)/ln(6) = 3.8 hops.
const (
	partnerCount            = 5                      // number of members to which a member sends heartbeats
	heartbeatInterval       = 400 * time.Millisecond // between two heartbeats of a member, each to one partner
	maxMisses               = 2                      // unanswered heartbeats in a row until a member is suspected
	suspicionTimeout        = 5 * time.Second        // until a suspected member that does not refute it counts as dead
	partnerRotation         = time.Minute            // mean time between replacements of a partner; a TLS handshake costs 3.9 KB
	deadProbeInterval       = 5 * time.Second        // between two heartbeats to a suspected, dead or left member
	deadRetention           = 2 * time.Hour          // until a dead or left member is forgotten
	heartbeatsPerComparison = 10                     // heartbeats from one comparison of bucket hashes to the next
	behindThreshold         = 8                      // missing records from which the next heartbeat requests a comparison again
	sweepInterval           = time.Second            // between two removals of expired records
	minDemandInterval       = 5 * time.Second        // minimum time between two announcements of demand
	demandRefreshInterval   = 4 * time.Minute        // until unchanged demand is announced again
	minSnapshotInterval     = 200 * time.Millisecond // minimum time between two snapshots, since each iterates over all records
	maxPending              = 128                    // records kept to send to one peer
)
