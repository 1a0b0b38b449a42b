package bergamotmember_test

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"
)

// BenchmarkCost measures the CPU time of a member per second of virtual time, and the memory of a member as that of the
// cluster divided by the number of members, all of which know each other. Encoding is included, TLS is not.
func BenchmarkCost(b *testing.B) {
	for _, count := range []int{4, 40, 840} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				c := newCluster(1, count)
				c.setDemandForAll(10)
				c.run(30 * time.Second)
				memory := float64(heap()-before) / float64(count)
				c.isMeasuring = true
				begin := processorTime()
				c.run(10 * time.Second)
				used := (processorTime() - begin).Seconds() / float64(count) / 10
				if memory > maxMemory {
					b.Fatalf("%.0f bytes for each member", memory)
				}
				b.ReportMetric(memory, "B/member")
				b.ReportMetric(100*used, "%core/member")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkHeal measures in virtual time how long two regions take to count each other's members as live again after a
// partition of ten minutes, in which each counts them as dead.
func BenchmarkHeal(b *testing.B) {
	for _, count := range []int{4, 40} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var times []time.Duration
			for seed := 0; b.Loop(); seed++ {
				c := newCluster(uint64(seed), count)
				c.run(30 * time.Second)
				c.isConnected = func(from, to string) bool { return c.isInFirstRegion(from, count/2) == c.isInFirstRegion(to, count/2) }
				c.run(10 * time.Minute)
				c.isConnected = func(string, string) bool { return true }
				took, ok := c.waitUntil(time.Minute, hasLiveCount(count)(c))
				if !ok {
					b.Fatalf("not healed after %s", took)
				}
				times = append(times, took)
			}
			b.ReportMetric(slices.Max(times).Seconds(), "s-to-all")
		})
	}
}
