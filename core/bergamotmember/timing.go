package bergamotmember

import "time"

// Times and counts of the protocol. At 840 members each link carries one heartbeat in 2 s; a member has about
// 5 links of its own and 5 of others, takes part in 5 exchanges a second, and news passes ln(840)/ln(6) = 3.8 times.
const (
	partnerCount  = 5                      // members to which this one sends heartbeats
	period        = 400 * time.Millisecond // time between two heartbeats of a member, each to one partner
	maxMisses     = 2                      // unanswered heartbeats in a row after which a member is suspected
	suspicion     = 5 * time.Second        // time in which a suspected member can object before it counts as dead
	rotation      = time.Minute            // time after which one partner is replaced; a TLS handshake costs 3.9 KB
	revival       = 5 * time.Second        // time between two heartbeats to a member that counts as dead
	forgetting    = 2 * time.Hour          // time after which a dead or left member is unknown again
	digestEvery   = 10                     // heartbeats between two digests
	manyWants     = 8                      // missing records after which the next heartbeat has a digest again
	sweeping      = time.Second            // time between two removals of expired records
	demandPause   = 5 * time.Second        // shortest time between two announcements of demand
	demandRefresh = 4 * time.Minute        // time after which unchanged demand is announced again
	pictureAge    = 200 * time.Millisecond // shortest time between two pictures, since one visits every record
	maxOwed       = 128                    // records that are kept for one partner
)
