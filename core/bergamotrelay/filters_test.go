package bergamotrelay

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotstep"
	"bergamotspur/core/bergamottest"
)

type filterCase struct {
	none bool          // no configuration is known
	age  time.Duration // since it was confirmed
	path string
	key  string
	want string
}

var _ = ginkgo.Describe("the filters", func() {
	cfg := bergamotconfig.New(bergamotconfig.Spec{
		Version: 1, RequiresKey: true, Keys: map[string]bergamotconfig.Workspace{"k": bergamotconfig.NewWorkspace("kitchen")},
		Services: []bergamotconfig.Service{plain},
		Routes: []bergamotconfig.Route{
			bergamotconfig.NewRoute(bergamotconfig.RouteSpec{Name: "keyed", Host: "h", Prefix: "/k/", Split: []bergamotconfig.Share{{Service: "app", Weight: 1}}}),
			bergamotconfig.NewRoute(bergamotconfig.RouteSpec{Name: "open", Host: "h", Prefix: "/o/", Public: true, Split: []bergamotconfig.Share{{Service: "app", Weight: 1}}}),
		},
	})
	const sure, most = 1700 * time.Millisecond, 4800 * time.Millisecond
	// Guards against a key that is used after it was taken away, and against a final "no" to a request that a newer
	// configuration allows.
	bergamottest.Entries(map[string]filterCase{
		"pass a request with its key":                     {path: "/k/1", key: "k", want: "answered"},
		"refuse an unknown key":                           {path: "/k/1", key: "x", want: "key no"},
		"refuse a missing key":                            {path: "/k/1", want: "key no"},
		"refuse an unknown route":                         {path: "/z/1", key: "k", want: "route no"},
		"pass a public route without a key":               {path: "/o/1", want: "answered"},
		"admit a key while it cannot have been taken":     {age: most, path: "/k/1", key: "k", want: "answered"},
		"admit no key that may have been taken away":      {age: most + 1, path: "/k/1", key: "k", want: "stale no"},
		"pass a public route with an old configuration":   {age: time.Hour, path: "/o/1", want: "answered"},
		"are not certain of a key in an old version":      {age: sure + 1, path: "/k/1", key: "x", want: "stale no"},
		"are not certain of a route in an old version":    {age: sure + 1, path: "/z/1", key: "k", want: "stale no"},
		"refuse everything before the first version":      {none: true, path: "/o/1", want: "bundle no"},
		"refuse even unknown routes before the first one": {none: true, path: "/z/1", want: "bundle no"},
	}, func(c filterCase) {
		view := bergamotcluster.NewView(cfg, 0, bergamotfleet.NewFleet(nil))
		if c.none {
			view = bergamotcluster.NewView(nil, 0, bergamotfleet.NewFleet(nil))
		}
		x := NewExchange(NewRequest(RequestSpec{Host: "h", Path: c.path, Key: c.key, Arrived: now}), view, &caller{})
		chain := bergamotstep.New[*Exchange](bergamotstep.Func[*Exchange](func(context.Context, *Exchange) error { return nil }),
			&Match{Freshness: age(c.age), Certain: sure, Draw: func() float64 { return 0 }},
			&Identify{Freshness: age(c.age), Certain: sure, Most: most})
		gomega.Expect(outcomeOf(chain.Handle(context.Background(), x))).To(gomega.Equal(c.want))
	})
})

type deadlineCase struct {
	wait, timeout, late time.Duration
	want                time.Duration // from the arrival
}

var _ = ginkgo.Describe("the deadline", func() {
	// Guards against runners that work longer than the caller waits or the route allows.
	bergamottest.Entries(map[string]deadlineCase{
		"is what the caller grants":           {wait: time.Second, timeout: 2 * time.Second, want: time.Second},
		"is what the route allows":            {wait: 3 * time.Second, timeout: 2 * time.Second, want: 2 * time.Second},
		"is the route's without the caller's": {timeout: 2 * time.Second, want: 2 * time.Second},
		"has a default":                       {want: defaultWait},
		"counts from the arrival":             {wait: time.Second, late: 400 * time.Millisecond, want: time.Second},
	}, func(c deadlineCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Timeout: c.timeout}), plain)
		g.x.request = NewRequest(RequestSpec{Wait: c.wait, Arrived: now})
		g.clock.Advance(c.late)
		f := &Deadline{Clock: g.clock}
		err := f.Filter(context.Background(), g.x, bergamotstep.Func[*Exchange](func(context.Context, *Exchange) error { return nil }))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(g.x.Deadline()).To(gomega.Equal(now.Add(c.want)))
	})
})

type stoppingCase struct {
	closing bool
	ending  bool
	repeat  bergamotconfig.RouteType
	want    string
}

var _ = ginkgo.Describe("a stopping entry", func() {
	// Guards against streams and calls that a stopping entry begins and cannot finish: one was cut off 7.3 s after
	// SIGTERM (csst-kiosk-net mix --seed 95478609023).
	bergamottest.Entries(map[string]stoppingCase{
		"serves streams before it closes":       {false, false, bergamotconfig.RouteStreaming, "answered"},
		"refuses streams while it closes":       {true, false, bergamotconfig.RouteStreaming, "drain no"},
		"serves calls while it closes":          {true, false, bergamotconfig.RouteNonIdempotent, "answered"},
		"serves repeatable calls as before":     {true, false, bergamotconfig.RouteIdempotent, "answered"},
		"refuses calls that it would cut off":   {true, true, bergamotconfig.RouteNonIdempotent, "drain no"},
		"refuses lookups that it would cut off": {true, true, bergamotconfig.RouteIdempotent, "drain no"},
	}, func(c stoppingCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Type: c.repeat}), plain)
		f := &Stopping{Closing: func() bool { return c.closing }, Ending: func() bool { return c.ending }}
		err := f.Filter(context.Background(), g.x, bergamotstep.Func[*Exchange](func(context.Context, *Exchange) error { return nil }))
		gomega.Expect(outcomeOf(err)).To(gomega.Equal(c.want))
	})
})
