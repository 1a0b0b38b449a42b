package bergamotcluster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"bergamotspur/core/bergamotmirror"
)

const (
	// hubsPerCentre is the number of hubs of a data centre. While one of them is replaced, the entries follow the other.
	hubsPerCentre = 2
	// hubRenewInterval is the time between two registrations of a hub. Each costs a write and, every second time, a read.
	hubRenewInterval = 4 * time.Second
	// earlyHubRenewal is the time to the second and third registration of a hub. At the second one the entries that started
	// together follow it, at the third one the other hubs have counted theirs too.
	earlyHubRenewal = 1500 * time.Millisecond
	// hubTTL is how long a registration counts. Another entry takes the slot after that.
	hubTTL = 9 * time.Second
	// hubRetryDelay is the time to the next attempt after a failed call.
	hubRetryDelay = 2 * time.Second
	// vacancyHoldoff is the time after a read that found no free slot in which reports of one are ignored: hubs notice only
	// after up to two intervals that it was taken.
	vacancyHoldoff = 10 * time.Second
	// hubsRefresh is the time between two reads of the hubs by an entry that follows one. The answer also bounds the drift
	// between its clock and the store's.
	hubsRefresh = 4 * time.Minute
	// orphanDelay is the shortest time after which an entry that finds no hub of its data centre to follow reads the hubs
	// again; the longest is twice that. By then a killed hub has started again.
	orphanDelay = 1500 * time.Millisecond
	// lackDelay is the shortest time after which an entry that looks in vain for another one reads the hubs again, and lackInterval the time
	// between two such reads; the longest are twice that.
	lackDelay    = 100 * time.Millisecond
	lackInterval = 3 * time.Second
)

// HubPeers learns which entries are hubs and selects the one to follow.
type HubPeers interface {
	SetHubs(hubs []bergamotmirror.Hub)
	SetHubsUnknown()
	// Upstream returns the entry to follow; ok is false if there is none.
	Upstream(storeUnreachable bool) (peer bergamotmirror.Peer, ok bool)
}

// HubReader knows about the entries between which the tables are passed on.
type HubReader interface {
	Downstream() int    // entries that read through this one, including itself
	CountEntries(n int) // records the number of entries of all data centres
	Entries() int       // largest recent number of entries of all data centres, 0 if it is not known
	SetVacant(v bool)   // records whether the data centre has too few hubs
	Vacant() bool       // reports whether the data centre has too few hubs, by the word of one of them
}

// Hubs is the controller that makes this entry a hub while its data centre has too few, and learns the hubs of all data
// centres.
type Hubs struct {
	Centre   string
	Self     func() bergamotmirror.Peer // this entry; its address is empty until other entries can follow it
	Table    HubTable
	Peers    HubPeers
	Reader   HubReader
	Random   func() float64 // returns a number from 0 (included) to 1 (excluded)
	Stopping func() bool    // reports whether the entry is stopping, so that another one should take its slot
	// OnChange is called when this entry becomes or stops being a hub, and after each error.
	OnChange func(hub bool, slot int, err error)
	// OnReclaim is called when the row of this entry's slot was lost in a restore of the store, or names an earlier holder, so
	// that the entry writes it again; nil for none.
	OnReclaim func(slot int)
	OnCount   func(entries int) // called for the first number of entries and for each change
	// OnRegister is called after each registration that counts the entries behind this hub, and with 0 when this entry is no hub
	// any more. settled is set if no other hub counted them when this entry became a hub.
	OnRegister func(entries int, settled bool)
	// Lacking reports whether this entry looks in vain for others, so that it has to learn which have registered lately; nil for no.
	Lacking func() bool

	own      HubSlot // slot of this entry, with an empty name for none
	slots    []HubSlot
	nextStep time.Time
	readAt   time.Time // when the hubs were last read
	inFlight bool
	entries  int       // number of entries that OnCount was called with last
	renewals int       // since this entry became a hub
	counted  bool      // the rows count all entries, as those of before a restart do
	settled  bool      // no other hub counted the entries behind this one when it became a hub
	released bool      // the slot was given up for good
	holdoff  time.Time // until then reports of a free slot are ignored
	restored time.Time // last restore of the store after which this entry registered at once
}

// Name returns "hubs".
func (c *Hubs) Name() string { return "hubs" }

// Next returns when the next registration or read of the hubs is due.
func (c *Hubs) Next(s *State) time.Time {
	switch {
	case c.inFlight || c.released:
		return s.Now().Add(time.Minute)
	case c.isHub() && (c.Stopping() || s.restoredAt.After(c.restored)):
		return s.Now()
	default:
		return c.nextStep
	}
}

// Reconcile registers this entry if it is a hub, or reads the hubs and takes a free slot.
func (c *Hubs) Reconcile(s *State) []Task {
	c.updateCount(s)
	switch {
	case c.inFlight || c.released:
		return nil
	case c.Stopping():
		return c.release()
	}
	_, following := c.Peers.Upstream(false)
	if vacant := c.Reader.Vacant() && !s.Now().Before(c.holdoff); !c.isHub() && (vacant || !following) {
		if early := s.Now().Add(c.jitter(orphanDelay)); c.nextStep.After(early) {
			c.nextStep = early
		}
	}
	lacking := c.Lacking != nil && c.Lacking() && s.Now().Sub(c.readAt) >= lackInterval
	if early := s.Now().Add(c.jitter(lackDelay)); lacking && c.nextStep.After(early) {
		c.nextStep = early
	}
	restored := s.restoredAt.After(c.restored)
	c.restored = s.restoredAt
	if c.isHub() && restored {
		c.nextStep = s.Now()
	}
	if s.Now().Before(c.nextStep) || c.Self().Address() == "" {
		return nil
	}
	c.inFlight = true
	if c.isHub() {
		// Right after a restore, the rows of the other hubs may be missing too until they register again.
		readOthers := (c.renewals%2 == 1 || lacking) && !restored
		if readOthers {
			c.readAt = s.Now()
		}
		return []Task{NewTask(c.Name(), func(ctx context.Context) Event { return c.renew(ctx, readOthers) })}
	}
	c.readAt = s.Now()
	return []Task{NewTask(c.Name(), c.join)}
}

// updateCount passes a new number of entries on.
func (c *Hubs) updateCount(s *State) {
	if n := c.Reader.Entries(); n > 0 && n != c.entries {
		c.entries, s.entryCount, s.counted = n, n, true
		c.OnCount(n)
	}
}

// isHub reports whether this entry holds a slot.
func (c *Hubs) isHub() bool { return c.own.hub.Name() != "" }

// join is a task that reads the hubs and takes a free slot of the data centre.
func (c *Hubs) join(ctx context.Context) Event {
	ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
	defer cancel()
	self := c.Self()
	slots, err := c.Table.Hubs(ctx)
	var own HubSlot
	rejoins, settled := false, false
	if free, ok := c.freeSlot(slots, self); ok && err == nil {
		rejoins, settled = free.hub.Entries() > 0, isSettled(slots, self.Name())
		var taken bool
		stored, taken, putErr := c.Table.PutHub(ctx, free.hub, free.revision)
		slots, err = c.withSlot(slots, stored), putErr
		if taken {
			own = stored
		}
	}
	return EventFunc(func(s *State) {
		// A hub whose registration was lost in a restore of the store may lend for some seconds more.
		c.counted, c.settled = rejoins, settled && s.restoredAt.IsZero()
		c.finish(s, slots, own, err)
	})
}

// renew is a task that registers this entry again and, if readOthers is set, reads the other hubs.
func (c *Hubs) renew(ctx context.Context, readOthers bool) Event {
	ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
	defer cancel()
	hub := bergamotmirror.NewHub(c.Self(), c.Centre, c.own.hub.Slot(), c.Reader.Downstream())
	own, ok, err := c.Table.PutHub(ctx, hub, c.own.revision)
	slots := c.slots
	if err == nil && readOthers {
		slots, err = c.Table.Hubs(ctx)
	}
	return EventFunc(func(s *State) {
		if err == nil && !ok && own.isRestored(c.own) && own.hub.Name() != hub.Name() {
			// The row is older than the registration that was lost. Whoever took the slot since gives it up.
			own = HubSlot{hub: hub, revision: own.revision, era: own.era}
			c.reclaimed(hub.Slot())
		}
		if err == nil {
			slots = c.withSlot(slots, own)
		}
		kept := own.hub.Name() == hub.Name()
		if !ok && err == nil && !kept {
			own = HubSlot{} // another entry has taken the slot
		}
		c.finish(s, slots, own, err)
		if !ok && err == nil && kept {
			c.nextStep = s.Now() // the revision was not known after an error
		}
	})
}

// reclaimed passes on that the row of the own slot was lost.
func (c *Hubs) reclaimed(slot int) {
	if c.OnReclaim != nil {
		c.OnReclaim(slot)
	}
}

// finish applies the result of join or renew.
func (c *Hubs) finish(s *State, slots []HubSlot, own HubSlot, err error) {
	c.inFlight = false
	if err != nil {
		c.nextStep = s.Now().Add(c.jitter(hubRetryDelay))
		c.Peers.SetHubsUnknown()
		c.OnChange(c.isHub(), c.own.hub.Slot(), err)
		// The write may have taken effect. The next one conflicts and returns the row that is stored.
		c.own.revision = 0
		return
	}
	wasHub := c.isHub()
	c.slots, c.own = slots, own
	c.publish(s)
	if wasHub && !c.isHub() {
		c.OnRegister(0, false)
	}
	switch {
	case !c.isHub():
		c.renewals, c.nextStep, c.holdoff = 0, s.Now().Add(hubsRefresh), s.Now().Add(vacancyHoldoff)
	case !wasHub:
		c.renewals, c.nextStep = 0, s.Now().Add(earlyHubRenewal)
	case c.renewals == 0:
		c.renewals, c.nextStep = 1, s.Now().Add(earlyHubRenewal)
	default:
		c.renewals++
		c.nextStep = s.Now().Add(hubRenewInterval)
	}
	if c.isHub() != wasHub {
		c.OnChange(c.isHub(), c.own.hub.Slot(), nil)
	}
}

// publish passes the live hubs on and counts the entries that read through them.
func (c *Hubs) publish(s *State) {
	var hubs []bergamotmirror.Hub
	entries, local := 0, 0
	for _, slot := range c.slots {
		if slot.isLive() {
			hubs = append(hubs, slot.hub)
			entries += slot.hub.Entries()
			if slot.hub.Centre() == c.Centre {
				local++
			}
		}
	}
	slices.SortFunc(hubs, func(a, b bergamotmirror.Hub) int {
		return cmp.Or(cmp.Compare(a.Slot(), b.Slot()), cmp.Compare(a.Centre(), b.Centre()))
	})
	s.hubRank = -1
	if c.isHub() {
		s.hubRank = slices.IndexFunc(hubs, func(h bergamotmirror.Hub) bool { return h.Name() == c.own.hub.Name() })
		if c.counted || c.renewals > 0 {
			// The first two registrations of new hubs do not count all entries that will follow them.
			c.Reader.CountEntries(entries)
			c.OnRegister(c.own.hub.Entries(), c.settled)
		}
		c.Reader.SetVacant(local < hubsPerCentre)
	}
	c.Peers.SetHubs(hubs)
}

// release gives the slot of a stopping entry up, once.
func (c *Hubs) release() []Task {
	c.released = true
	if !c.isHub() {
		return nil
	}
	empty, revision := bergamotmirror.NewHub(bergamotmirror.Peer{}, c.Centre, c.own.hub.Slot(), 0), c.own.revision
	return []Task{NewTask(c.Name(), func(ctx context.Context) Event {
		ctx, cancel := context.WithTimeout(ctx, ReplyTimeout)
		defer cancel()
		stored, ok, err := c.Table.PutHub(ctx, empty, revision)
		if err == nil && !ok && stored.hub.Name() == c.Self().Name() {
			_, _, err = c.Table.PutHub(ctx, empty, stored.revision) // the revision was not known, or the store was restored
		}
		return EventFunc(func(*State) { c.OnChange(false, empty.Slot(), err) })
	})}
}

// jitter returns a random time between d and twice d, so that entries that lose a hub together do not act together.
func (c *Hubs) jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.Random()*float64(d))
}
