package bergamotload

import (
	"sync"
	"time"
)

// reportTTL is how long reports are kept.
const reportTTL = 5 * time.Second

// Report is the memory that requests occupy on a runner.
type Report struct {
	runner string
	used   float64
	at     time.Duration
}

// NewReport returns the report of a runner, in token-layers, at a time of the store's clock.
func NewReport(runner string, used float64, at time.Duration) Report {
	return Report{runner: runner, used: used, at: at}
}

// Runner returns the name of the runner.
func (r Report) Runner() string { return r.runner }

// Used returns the memory that requests occupy, in token-layers.
func (r Report) Used() float64 { return r.used }

// At returns the time of the report on the store's clock.
func (r Report) At() time.Duration { return r.at }

// Board holds the latest report of each runner. It may be used concurrently.
type Board struct {
	mu      sync.Mutex
	version int64 // of the latest change
	reports map[string]posted
	changed chan struct{} // closed and replaced at each change
}

// posted is a report on a board.
type posted struct {
	report  Report
	own     bool // this entry has asked the runner itself
	version int64
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{reports: map[string]posted{}, changed: make(chan struct{})} }

// Put adds reports and returns those that are newer than the ones on the board. If own is set, this entry has asked the
// runners itself.
func (b *Board) Put(reports []Report, own bool) (news []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var latest time.Duration
	for _, r := range reports {
		latest = max(latest, r.at)
		if old, ok := b.reports[r.runner]; ok && old.report.at >= r.at {
			continue
		}
		b.reports[r.runner] = posted{report: r, own: own, version: b.version + 1}
		news = append(news, r)
	}
	if len(news) == 0 {
		return nil
	}
	b.version++
	for name, p := range b.reports {
		if latest-p.report.at > reportTTL {
			delete(b.reports, name)
		}
	}
	close(b.changed)
	b.changed = make(chan struct{})
	return news
}

// Since returns the reports that were added after a version of the board, the new version, and a channel that is closed at
// the next change. If own is set, it returns only reports of runners that this entry has asked itself.
func (b *Board) Since(version int64, own bool) (reports []Report, now int64, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version > b.version {
		version = 0 // it is that of an earlier process
	}
	for _, p := range b.reports {
		if p.version > version && (p.own || !own) {
			reports = append(reports, p.report)
		}
	}
	return reports, b.version, b.changed
}
