package bergamotretry

import (
	"context"
	"errors"
	"time"

	"bergamotspur/core/bergamotmirror"
)

const (
	// ownFraction is the fraction of the reserve that each entry has a fixed part of. The hubs lend the rest.
	ownFraction = 0.3
	// minEntries is the smallest number of entries among which the reserve is divided. A count of one may only mean that
	// the other entries have not been counted yet.
	minEntries = 2
	// borrowTimeout is the time for the answer of a hub that is asked for a retry; it usually takes 2 ms. The request that
	// needs it fails without it.
	borrowTimeout = 40 * time.Millisecond
)

// errNoHub is the reason why an entry that reads the store by itself cannot borrow retries.
var errNoHub = errors.New("this entry follows no hub")

// HubSource knows the hub of this entry.
type HubSource interface {
	// Hub returns the hub through which this entry reads the store, which may be itself; ok is false if there is none.
	Hub() (hub bergamotmirror.Peer, ok bool)
	Entries() int // entries of all data centres, 0 if that is not known
}

// Network borrows retries from hubs.
type Network interface {
	// Borrow borrows a retry of a service and reports whether the hub lends it, which it does while less than a share of
	// what it may lend is used.
	Borrow(ctx context.Context, hub bergamotmirror.Peer, service string, share float64) (lent bool, err error)
}

// HubLender is the Lender that borrows from the hub of this entry, and lends to others while this entry is a hub.
type HubLender struct {
	Name     string // of this entry
	Hubs     HubSource
	Network  Network
	Lendable *Budget                                                    // retries that this entry lends as a hub
	Share    *Share                                                     // part of the retries to lend that this entry lends as a hub
	Reserve  float64                                                    // retries per window beyond a share of the first attempts, of all entries
	OnRefuse func(service string, share float64, hub string, err error) // called for each retry that was not lent
}

// OwnReserve returns the fixed part of the reserve that each of n entries has.
func (l *HubLender) OwnReserve(n int) float64 { return ownFraction * l.perEntry(n) }

// perEntry returns the part of the reserve for each of n entries.
func (l *HubLender) perEntry(n int) float64 { return l.Reserve / float64(max(n, minEntries)) }

// Borrow borrows one retry of a service from the hub through which this entry reads the store.
func (l *HubLender) Borrow(service string, share float64) bool {
	hub, ok := l.Hubs.Hub()
	lent, err := false, error(nil)
	switch {
	case !ok:
		err = errNoHub
	case hub.Name() == l.Name:
		lent = l.Lend(service, share)
	default:
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		defer cancel()
		lent, err = l.Network.Borrow(ctx, hub, service, share)
	}
	lent = lent && err == nil
	if !lent {
		l.OnRefuse(service, share, hub.Name(), err)
	}
	return lent
}

// Registered records that this entry is registered as a hub through which a number of entries read, 0 if it is no hub any
// more. If settled is set, no other hub can have lent for these entries.
func (l *HubLender) Registered(entries int, settled bool) {
	l.Share.Observe(float64(entries)/float64(max(l.Hubs.Entries(), entries, minEntries)), settled)
}

// Lend takes one retry of a service from the part of the budget of the entries that are registered behind this hub.
func (l *HubLender) Lend(service string, share float64) bool {
	if hub, ok := l.Hubs.Hub(); !ok || hub.Name() != l.Name {
		return false
	}
	l.Lendable.SetReserve((1 - ownFraction) * l.Reserve * l.Share.Part())
	return l.Lendable.TakeWithin(service, share)
}
