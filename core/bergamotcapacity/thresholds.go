package bergamotcapacity

import "time"

// Thresholds are the figures by which an Admission decides.
type Thresholds struct {
	MaxReportAge    time.Duration // age of the latest report up to which an estimate is used
	Horizon         time.Duration // time for whose more urgent requests capacity is kept free
	RateWindow      time.Duration // time constant of the moving averages of arrivals and ends
	MaxReserveShare float64       // largest part of the entry's share that is kept free
	MinDemand       float64       // more urgent requests of typical size expected within Horizon, below which none is kept free
	MinRoom         float64       // requests of typical size for which the share must have room beside the reserve
	IdleShare       float64       // part of the whole capacity from which on, while it is free, nothing is kept free
	BorrowShares    float64       // multiple of its share that an entry may admit beyond it while IdleShare is free
	WaitShare       float64       // longest wait as a share of the target latency of the route
	MaxWait         time.Duration // longest wait whatever the target latency is
	LargeFactor     float64       // multiple of the typical size from which a request is large
	MaxWaiting      int           // requests that may wait
	MinRetryAfter   time.Duration // shortest time to return
	RetryShare      float64       // longest time to return as a share of the time that the caller has left
}

// DefaultThresholds returns the thresholds for production. Where a simulation is named, it is the one in the tests of the
// package: half of the requests are urgent, and the value of a late answer is that of the design page.
func DefaultThresholds() Thresholds {
	return Thresholds{
		// Reports are used up to this age for the choice of paths too.
		MaxReportAge: 1500 * time.Millisecond,
		// With 0.7 s the value of all answers was 0.669 instead of 0.675 at 71 entries and 1.05 of the capacity.
		Horizon:    time.Second,
		RateWindow: 2 * time.Second,
		// A smaller part leaves no reserve in effect: a request takes only its tokens divided by the number of entries from the
		// share before it is admitted. With 0.5, 28 entries gained 0.016 of the value at 1.05 of the capacity, with 1 they gained 0.052.
		MaxReserveShare: 1,
		MinDemand:       0.1,
		// With 1, less urgent requests were refused 332 times at 71 entries and 0.6 of the capacity, in place of 31 times with 0: a share
		// of the 0.4 that was free had room for little more than one request.
		MinRoom: 0,
		// Without it, less urgent requests lost 0.05 of their value at 71 entries and 0.75 of the capacity, where the urgent ones gained
		// 0.015; with it, both kept theirs within 0.02. At 1.05 of the capacity, all gained 0.05 in total, with and without it.
		IdleShare:     0.3,
		BorrowShares:  1,
		WaitShare:     0.5,
		MaxWait:       500 * time.Millisecond,
		LargeFactor:   4,
		MaxWaiting:    1000, // a waiting request holds about 4 KB in addition to its body
		MinRetryAfter: 300 * time.Millisecond,
		RetryShare:    1.0 / 3,
	}
}
