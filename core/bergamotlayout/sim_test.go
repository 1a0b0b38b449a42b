package bergamotlayout

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
)

func TestSim(t *testing.T) {
	if os.Getenv("SIM") == "" {
		t.Skip()
	}
	m := NewModel(80, 1750, 0.007375, 946)
	kinds := map[string][2]float64{"h100": {72000, 1.4}, "a100s": {36000, 3.1}, "l4": {21600, 16}, "t4": {14400, 15}}
	zones := map[string]map[string]int{"a": {"h100": 1, "a100s": 1, "l4": 5, "t4": 7}, "b": {"a100s": 1, "l4": 8, "t4": 3}, "c": {"a100s": 2, "l4": 4, "t4": 7}}
	var fresh, events, broken, moved int
	minroom, idealsum := 0.0, 0.0
	ideal := map[int]int{}
	hist := map[int]int{}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 7))
		var rs []Runner
		n := 0
		add := func(kind, z string) {
			n++
			rs = append(rs, NewRunner(fmt.Sprintf("%s-%s-%03d", z, kind, n), z, kinds[kind][0], kinds[kind][1], Span{}))
		}
		for _, z := range []string{"a", "b", "c"} {
			for _, k := range []string{"h100", "a100s", "l4", "t4"} {
				for range zones[z][k] {
					add(k, z)
				}
			}
		}
		l := Layout{Model: m}
		apply := func() (loads int) {
			for range 3 {
				p := l.Plan(rs)
				ch := false
				for i, v := range rs {
					if s, ok := p[v.name]; ok && s != v.held {
						loads += s.Len() - max(min(s.to, v.held.to)-max(s.from, v.held.from), 0)
						rs[i].held = s
						ch = true
					}
				}
				if !ch {
					break
				}
			}
			return
		}
		apply()
		for range 10 {
			lost := 1 + r.IntN(3)
			for range lost {
				i := r.IntN(len(rs))
				gone := rs[i]
				rs = append(rs[:i:i], rs[i+1:]...)
				if r.IntN(10) < 7 {
					for k, v := range kinds {
						if v[0] == gone.memory {
							defer func() {}()
							n++
							rs = append(rs, NewRunner(fmt.Sprintf("%s-%s-%03d", gone.centre, k, n), gone.centre, v[0], v[1], Span{}))
						}
					}
				}
			}
			ld := apply()
			events++
			moved += ld
			if ld > 60 {
				fresh++
			}
			for _, z := range []string{"a", "b", "c"} {
				var zr []Runner
				for _, v := range rs {
					if v.centre == z {
						zr = append(zr, v)
					}
				}
				rp := newRepair(m, zr)
				least := rp.room[0]
				for _, x := range rp.room {
					least = min(least, x)
				}
				if !rp.complete() {
					broken++
					hist[-1]++
					continue
				}
				hist[int(least/946)/20*20]++
				out := map[string]Span{}
				l.fresh(zr, byPace, out)
				for i := range zr {
					zr[i].held = out[zr[i].name]
				}
				fr := newRepair(m, zr)
				fl := fr.room[0]
				for _, x := range fr.room {
					fl = min(fl, x)
				}
				ideal[int(fl/946)/20*20]++
				idealsum += fl / 946
				minroom += least / 946
			}
		}
	}
	fmt.Println("events", events, "fresh-like", fresh, "loads/event", float64(moved)/float64(events), "broken zones", broken, "mean least room", minroom/float64(events*3-broken), hist, "ideal", idealsum/float64(events*3-broken), ideal)
}
