package bergamotsuspect

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Ledger records which contents are suspected or confirmed to make targets fail. A request may have several contents, such
// as the parts of its prompt, and each failure is attributed to all of them: two failures show that what both requests had
// in common is the cause, and a request that completes shows that none of its contents is. The ledger belongs to the
// traffic side and has its own lock: a suspect must be known before its next dispatch, and a view is published too late for
// that.
type Ledger struct {
	Clock           Clock
	DuplicateWindow time.Duration // reports of failures of one instance within this time count as one failure
	CrashOnce       bool          // the name of an instance is that of a process, which fails once
	MaxAge          time.Duration // age at which a failure expires
	MaxContents     int           // maximum number of contents
	// OnChange is called with each failure that this entry has recorded, or whose contents it has cleared; nil for none.
	OnChange func(f Failure)

	mu        sync.RWMutex
	failures  map[string]*localFailure // by ID
	byContent map[Digest][]*localFailure
}

// localFailure is a Failure whose time is that of this entry's clock.
type localFailure struct {
	Failure
	at time.Time
}

// Defaults of a ledger. All requests on a failed instance notice the failure within seconds. A restarted instance needs
// longer than the duplicate window to load its layers, so that its next failure counts again. A content with 4 failures
// takes about 600 bytes.
const (
	defaultDuplicateWindow = 10 * time.Second
	defaultMaxAge          = time.Hour
	defaultMaxContents     = 4096
)

// minUnstarted is how many instances must have failed before they began to answer requests with the same parts before these
// are confirmed. A request that only waits at an instance that fails is as suspect as the one that made it fail.
const minUnstarted = 3

// maxFailures bounds the failures kept for a content; two can confirm it, and more add little information.
const maxFailures = 8

// NewLedger returns an empty ledger with the default limits.
func NewLedger(c Clock) *Ledger {
	return &Ledger{Clock: c, DuplicateWindow: defaultDuplicateWindow, MaxAge: defaultMaxAge, MaxContents: defaultMaxContents}
}

// IsSuspect reports whether a failure is attributed to any of the contents.
func (l *Ledger) IsSuspect(contents ...Digest) bool {
	return l.hasFailure(contents, func(*localFailure, time.Duration) bool { return true })
}

// IsRepeat reports whether an instance failed within d on the same request, and it is open which of its contents is the
// cause. Another run would not tell, but a run of a request that shares only some of them does.
func (l *Ledger) IsRepeat(d time.Duration, contents ...Digest) bool {
	return l.hasFailure(contents, func(f *localFailure, age time.Duration) bool {
		return age < d && !f.unstarted && len(f.contents) > 1 && f.missing(contents) == 0
	})
}

// MustRunAlone reports whether requests with the contents have nearly all in common with one on which an instance failed:
// all of its contents but one, which is the request itself if it is another one. If the instance had not begun to answer,
// only the same request must.
func (l *Ledger) MustRunAlone(contents ...Digest) bool {
	return l.hasFailure(contents, func(f *localFailure, _ time.Duration) bool {
		if f.unstarted {
			return f.missing(contents) == 0
		}
		return f.missing(contents) <= 1
	})
}

// hasFailure reports whether a failure that satisfies a condition is attributed to any of the contents.
func (l *Ledger) hasFailure(contents []Digest, condition func(f *localFailure, age time.Duration) bool) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.Clock.Now()
	for _, c := range contents {
		for _, f := range l.byContent[c] {
			if !l.isExpired(f, now) && condition(f, now.Sub(f.at)) {
				return true
			}
		}
	}
	return false
}

// IsConfirmed reports whether requests with the contents must be rejected: they have all that the requests of two failures
// had in common, one of which ran alone. Without that condition, the loss of a rack would confirm every common prompt that
// ran on two of its instances.
func (l *Ledger) IsConfirmed(contents ...Digest) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.Clock.Now()
	for _, c := range contents {
		for i, f := range l.byContent[c] {
			for _, other := range l.byContent[c][:i] {
				if !(l.isExpired(f, now) && l.isExpired(other, now)) && l.isCause(f, other, contents) {
					return true
				}
			}
		}
	}
	return false
}

// isCause reports whether two failures show that requests with the contents make instances fail.
func (l *Ledger) isCause(f, other *localFailure, contents []Digest) bool {
	if !f.alone && !other.alone || l.isSame(f, other) || f.at.Sub(other.at).Abs() >= l.MaxAge {
		return false
	}
	common := f.common(other.Failure)
	if slices.ContainsFunc(common, func(d Digest) bool { return !slices.Contains(contents, d) }) {
		return false
	}
	return !f.unstarted && !other.unstarted || f.isSameRequest(other.Failure) || l.countInstances(common) >= minUnstarted
}

// countInstances returns how many instances failed on requests with all of the contents, of which there is at least one.
func (l *Ledger) countInstances(contents []Digest) int {
	instances := map[string]bool{}
	for _, f := range l.byContent[contents[0]] {
		if len(f.common(Failure{contents: contents})) == len(contents) {
			instances[f.instance] = true
		}
	}
	return len(instances)
}

// isSame reports whether two reports may be of the same failure: duplicates of a request on the same instance, and the
// exchange of failures between entries, report one several times. A failure while the request ran alone is never the same
// as one while others ran there, since a request runs alone only after an earlier failure made it a suspect.
func (l *Ledger) isSame(f, other *localFailure) bool {
	if l.CrashOnce {
		return f.instance == other.instance
	}
	return f.instance == other.instance && f.alone == other.alone && f.at.Sub(other.at).Abs() < l.DuplicateWindow
}

// RecordFailure records that an instance failed while a request with the contents ran on it; alone is true when no other
// request of the entry ran there, or when the request ran as a suspect.
func (l *Ledger) RecordFailure(contents []Digest, instance string, alone bool) {
	l.record(contents, instance, alone, NewFailure)
}

// RecordUnstarted is like RecordFailure for an instance that had not begun to answer the request. Such failures confirm a
// request when two are of the same one, and parts of prompts that it shares with others when minUnstarted instances failed.
// Many requests may have waited at the instance: what is known to have been there is not counted for each of them.
func (l *Ledger) RecordUnstarted(contents []Digest, instance string, alone bool) {
	l.mu.RLock()
	contents = slices.DeleteFunc(slices.Clone(contents), func(d Digest) bool {
		return d != contents[0] && slices.ContainsFunc(l.byContent[d], func(f *localFailure) bool { return f.instance == instance })
	})
	l.mu.RUnlock()
	l.record(contents, instance, alone, NewUnstarted)
}

func (l *Ledger) record(contents []Digest, instance string, alone bool, newFailure func([]Digest, string, bool, time.Duration) Failure) {
	if len(contents) == 0 {
		return
	}
	f := &localFailure{Failure: newFailure(contents[:min(len(contents), maxContents)], instance, alone, 0), at: l.Clock.Now()}
	l.mu.Lock()
	added := l.addNew(f)
	l.mu.Unlock()
	if added && l.OnChange != nil {
		l.OnChange(f.Failure)
	}
}

// addNew adds a failure unless it is known. The ID of a further failure of the same instance gets a number.
func (l *Ledger) addNew(f *localFailure) bool {
	id := f.id
	for n := 2; ; n++ {
		known, ok := l.failures[f.id]
		if !ok {
			l.add(f)
			return true
		}
		if n > maxFailures || l.isSame(known, f) {
			return false
		}
		f.id = id + "-" + strconv.Itoa(n)
	}
}

// Clear records that a request with the contents has completed, so that none of them is the cause of a failure. What is
// confirmed stays, unless other contents remain that may be the cause, or the instance had not begun to answer: then the
// request only waited there.
func (l *Ledger) Clear(contents ...Digest) {
	if !l.IsSuspect(contents...) {
		return
	}
	var changed []Failure
	l.mu.Lock()
	for _, f := range l.withAny(contents) {
		cleared := f.without(contents)
		cleared.age = l.Clock.Now().Sub(f.at)
		if len(cleared.contents) == 0 && !f.unstarted && l.isConfirmedBy(f) {
			continue
		}
		l.replace(f, cleared)
		changed = append(changed, cleared)
	}
	l.mu.Unlock()
	if l.OnChange == nil {
		return
	}
	for _, f := range changed {
		l.OnChange(f)
	}
}

// withAny returns the failures that are attributed to any of the contents.
func (l *Ledger) withAny(contents []Digest) (out []*localFailure) {
	for _, c := range contents {
		for _, f := range l.byContent[c] {
			if !slices.Contains(out, f) {
				out = append(out, f)
			}
		}
	}
	return out
}

// isConfirmedBy reports whether a failure and another one show what their cause is.
func (l *Ledger) isConfirmedBy(f *localFailure) bool {
	return slices.ContainsFunc(l.withAny(f.contents), func(other *localFailure) bool {
		return other != f && l.isCause(f, other, f.contents)
	})
}

// Export returns the failures that have not expired, those that confirm a content first.
func (l *Ledger) Export() (out []Failure) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	now := l.Clock.Now()
	var unconfirmed []Failure
	for _, f := range l.failures {
		if l.isExpired(f, now) {
			continue
		}
		exported := f.Failure
		exported.age = now.Sub(f.at)
		if l.isConfirmedBy(f) {
			out = append(out, exported)
		} else {
			unconfirmed = append(unconfirmed, exported)
		}
	}
	return append(out, unconfirmed...)
}

// Merge adds failures from another entry, or clears contents that it has cleared; merging the same failures again changes
// nothing.
func (l *Ledger) Merge(failures []Failure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, f := range failures {
		if f.age < 0 || f.age >= l.MaxAge {
			continue
		}
		known := l.failures[f.id]
		switch {
		case known != nil:
			kept := known.Failure
			kept.contents = known.common(f)
			l.replace(known, kept)
		case len(f.contents) > 0:
			l.add(&localFailure{Failure: f, at: now.Add(-f.age)})
		}
	}
}

// Forget removes the failure with an ID.
func (l *Ledger) Forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.failures[id]; ok {
		l.remove(f)
	}
}

// Len returns the number of contents kept, including expired ones.
func (l *Ledger) Len() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.byContent)
}

func (l *Ledger) isExpired(f *localFailure, now time.Time) bool { return now.Sub(f.at) >= l.MaxAge }

// add adds a failure whose ID is not known.
func (l *Ledger) add(f *localFailure) {
	if l.failures == nil {
		l.failures, l.byContent = map[string]*localFailure{}, map[Digest][]*localFailure{}
	}
	l.makeRoom(f)
	for _, c := range f.contents {
		if list := l.byContent[c]; len(list) >= maxFailures {
			l.remove(leastUseful(list))
		}
	}
	l.failures[f.id] = f
	for _, c := range f.contents {
		l.byContent[c] = append(l.byContent[c], f)
	}
}

// leastUseful returns the oldest of the failures that tell least about their cause.
func leastUseful(list []*localFailure) *localFailure {
	return slices.MinFunc(list, func(a, b *localFailure) int {
		return cmp.Or(cmp.Compare(a.weight(), b.weight()), a.at.Compare(b.at))
	})
}

// weight returns how much a failure tells about its cause: most if the instance had begun to answer, and more if the request
// ran alone.
func (f *localFailure) weight() (n int) {
	if !f.unstarted {
		n += 2
	}
	if f.alone {
		n++
	}
	return n
}

// replace gives a failure fewer contents, and removes it when it has none left.
func (l *Ledger) replace(f *localFailure, with Failure) {
	l.remove(f)
	if len(with.contents) > 0 {
		l.add(&localFailure{Failure: with, at: f.at})
	}
}

func (l *Ledger) remove(f *localFailure) {
	delete(l.failures, f.id)
	for _, c := range f.contents {
		l.byContent[c] = slices.DeleteFunc(l.byContent[c], func(other *localFailure) bool { return other == f })
		if len(l.byContent[c]) == 0 {
			delete(l.byContent, c)
		}
	}
}

// makeRoom removes failures until the contents of a new one fit: all expired ones, then the oldest that confirm no content,
// then the oldest.
func (l *Ledger) makeRoom(added *localFailure) {
	needed := 0
	for _, c := range added.contents {
		if _, known := l.byContent[c]; !known {
			needed++
		}
	}
	if len(l.byContent)+needed <= l.MaxContents {
		return
	}
	for _, f := range l.failures {
		if l.isExpired(f, added.at) {
			l.remove(f)
		}
	}
	for len(l.byContent)+needed > l.MaxContents && len(l.failures) > 0 {
		var victim *localFailure
		victimConfirmed := false
		for _, f := range l.failures {
			confirmed := l.isConfirmedBy(f)
			if victim == nil || victimConfirmed && !confirmed || victimConfirmed == confirmed && f.at.Before(victim.at) {
				victim, victimConfirmed = f, confirmed
			}
		}
		l.remove(victim)
	}
}
