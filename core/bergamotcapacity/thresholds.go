package bergamotcapacity

import "time"

// Thresholds are the figures by which an Admission decides.
type Thresholds struct {
	MaxReportAge    time.Duration // age of the latest report up to which an estimate is used
	Horizon         time.Duration // time for whose more urgent requests capacity is kept free
	RateWindow      time.Duration // time constant of the moving averages of arrivals and ends
	MaxReserveShare float64       // largest part of the capacity that is kept free
	MinDemand       float64       // more urgent requests of typical size expected within Horizon, below which none is kept free
	WaitShare       float64       // longest wait as a share of the target latency of the route
	MaxWait         time.Duration // longest wait whatever the target latency is
	LargeFactor     float64       // multiple of the typical size from which a request is large
	MaxWaiting      int           // requests that may wait
	MinRetryAfter   time.Duration // shortest time to return
	RetryShare      float64       // longest time to return as a share of the time that the caller has left
}

// DefaultThresholds returns the thresholds for production.
func DefaultThresholds() Thresholds {
	return Thresholds{
		// Reports are used up to this age for the choice of paths too.
		MaxReportAge: 1500 * time.Millisecond,
		Horizon:      time.Second,
		RateWindow:   2 * time.Second,
		// With half, a request passes whenever the share has room for two of its size: reports lag by 200 to 700 ms, in which
		// many running requests end, so that a larger reserve would hold requests back for capacity that is free by then.
		MaxReserveShare: 0.5,
		MinDemand:       0.1,
		WaitShare:       0.5,
		MaxWait:         500 * time.Millisecond,
		LargeFactor:     4,
		// A waiting request holds about 4 KB in addition to its body.
		MaxWaiting:    1000,
		MinRetryAfter: 300 * time.Millisecond,
		RetryShare:    1.0 / 3,
	}
}
