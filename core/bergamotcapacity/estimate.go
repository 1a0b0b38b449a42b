package bergamotcapacity

import "time"

// Runner is the load of a runner that may get requests, as known to one entry. Memory is in token-layers.
type Runner struct {
	Centre   string
	From, To int           // layers that it holds, the first included and the last excluded
	Capacity float64       // memory for requests
	Used     float64       // memory that the requests of all entries used at the last report
	OwnUsed  float64       // memory that the requests of this entry used when the report was recorded
	Own      float64       // memory that the requests of this entry use now
	Age      time.Duration // of the report
	Reported bool          // there is a report that is recent enough
}

// Input is what an estimate is made from.
type Input struct {
	Now           time.Time
	Layers        int // of the model
	Runners       []Runner
	Entries       int     // entries that share the runners, 0 if they have not been counted
	TypicalTokens float64 // tokens of a typical request
}

// Centre is the free capacity of a data centre.
type Centre struct {
	name string
	free float64
	age  time.Duration
}

// Name returns the name of the data centre, empty for paths across data centres.
func (c Centre) Name() string { return c.name }

// Free returns the tokens that still fit.
func (c Centre) Free() float64 { return c.free }

// Age returns the age of the latest report of a runner in the data centre, negative if there is none.
func (c Centre) Age() time.Duration { return c.age }

// Estimate is the free capacity of a service at one time. It never changes.
type Estimate struct {
	at       time.Time
	known    bool
	age      time.Duration
	centres  []Centre
	free     float64
	total    float64 // the same if no request ran
	largest  float64
	capacity float64 // tokens of the largest request that fits on a path
	entries  int
	typical  float64 // tokens of a typical request
	own      float64 // tokens of the requests of this entry that have a path
	growth   float64 // what those have taken since the reports
}

// At returns when the estimate was made.
func (e *Estimate) At() time.Time { return e.at }

// Age returns the age of the latest report at a time, negative if there was none.
func (e *Estimate) Age(now time.Time) time.Duration {
	if e.age < 0 {
		return e.age
	}
	return e.age + now.Sub(e.at)
}

// Centres returns the free capacity of the data centres that can serve requests, sorted by name; the caller must not change
// the slice.
func (e *Estimate) Centres() []Centre { return e.centres }

// Free returns the tokens that still fit in all data centres together.
func (e *Estimate) Free() float64 { return e.free }

// Total returns the tokens that would fit if no request ran.
func (e *Estimate) Total() float64 { return e.total }

// Largest returns the tokens that still fit in the data centre with the most free capacity.
func (e *Estimate) Largest() float64 { return e.largest }

// MaxRequest returns the tokens above which a request fits on no path even when the runners are idle.
func (e *Estimate) MaxRequest() float64 { return e.capacity }

// Entries returns the number of entries among which the free capacity is divided.
func (e *Estimate) Entries() int { return e.entries }

// Share returns the part of the free capacity that is this entry's.
func (e *Estimate) Share() float64 { return e.free / float64(max(e.entries, 1)) }

// IsKnown reports whether the estimate may be used at a time: the entries have been counted, some path covers all layers,
// and the latest report is at most maxAge old.
func (e *Estimate) IsKnown(now time.Time, maxAge time.Duration) bool {
	return e != nil && e.known && e.Age(now) <= maxAge
}
