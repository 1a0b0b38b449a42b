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
	noConfig bool          // no configuration has been read yet
	age      time.Duration // time since the configuration was confirmed
	path     string
	key      string
	want     string
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
	const maxNegativeAge, maxKeyAge = 1700 * time.Millisecond, 4800 * time.Millisecond
	// Guards against accepting a key after it was revoked, and against a final refusal of a request that a newer
	// configuration allows.
	bergamottest.Cases(map[string]filterCase{
		"pass a request with its key":                                      {path: "/k/1", key: "k", want: "answered"},
		"refuse an unknown key":                                            {path: "/k/1", key: "x", want: "key no"},
		"refuse a missing key":                                             {path: "/k/1", want: "key no"},
		"refuse an unknown route":                                          {path: "/z/1", key: "k", want: "route no"},
		"pass a public route without a key":                                {path: "/o/1", want: "answered"},
		"accept a key while it cannot have been revoked":                   {age: maxKeyAge, path: "/k/1", key: "k", want: "answered"},
		"refuse a key that may have been revoked":                          {age: maxKeyAge + 1, path: "/k/1", key: "k", want: "stale no"},
		"pass a public route with an old configuration":                    {age: time.Hour, path: "/o/1", want: "answered"},
		"refuse an unknown key as stale in an old version":                 {age: maxNegativeAge + 1, path: "/k/1", key: "x", want: "stale no"},
		"refuse an unknown route as stale in an old version":               {age: maxNegativeAge + 1, path: "/z/1", key: "k", want: "stale no"},
		"refuse a known route before the first version":                    {noConfig: true, path: "/o/1", want: "bundle no"},
		"refuse an unknown route in the same way before the first version": {noConfig: true, path: "/z/1", want: "bundle no"},
	}, func(c filterCase) {
		view := bergamotcluster.NewView(cfg, 0, bergamotfleet.NewFleet(nil))
		if c.noConfig {
			view = bergamotcluster.NewView(nil, 0, bergamotfleet.NewFleet(nil))
		}
		x := NewExchange(NewRequest(RequestSpec{Host: "h", Path: c.path, APIKey: c.key, ArrivedAt: now}), view, &caller{})
		chain := bergamotstep.Chain[*Exchange](bergamotstep.Func[*Exchange](func(context.Context, *Exchange) error { return nil }),
			&RouteMatcher{Freshness: age(c.age), MaxNegativeAge: maxNegativeAge, Rand: func() float64 { return 0 }},
			&Authenticator{Freshness: age(c.age), MaxNegativeAge: maxNegativeAge, MaxKeyAge: maxKeyAge})
		gomega.Expect(outcomeOf(chain.Handle(context.Background(), x))).To(gomega.Equal(c.want))
	})
})

type deadlineCase struct {
	wait, timeout, elapsed time.Duration
	want                   time.Duration // time from the arrival to the deadline
}

var _ = ginkgo.Describe("the deadline", func() {
	// Guards against runners that keep working after the caller's or the route's timeout.
	bergamottest.Cases(map[string]deadlineCase{
		"is the caller's timeout":                          {wait: time.Second, timeout: 2 * time.Second, want: time.Second},
		"is the route's timeout when that is shorter":      {wait: 3 * time.Second, timeout: 2 * time.Second, want: 2 * time.Second},
		"is the route's timeout when the caller sets none": {timeout: 2 * time.Second, want: 2 * time.Second},
		"has a default":           {want: defaultTimeout},
		"counts from the arrival": {wait: time.Second, elapsed: 400 * time.Millisecond, want: time.Second},
	}, func(c deadlineCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Timeout: c.timeout}), plain)
		g.x.request = NewRequest(RequestSpec{CallerTimeout: c.wait, ArrivedAt: now})
		g.clock.Advance(c.elapsed)
		f := &Deadline{Clock: g.clock}
		err := f.Filter(context.Background(), g.x, bergamotstep.Func[*Exchange](func(context.Context, *Exchange) error { return nil }))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(g.x.Deadline()).To(gomega.Equal(now.Add(c.want)))
	})
})

type shutdownCase struct {
	refusingStreams bool
	refusingAll     bool
	repeat          bergamotconfig.RouteType
	want            string
}

var _ = ginkgo.Describe("a stopping entry", func() {
	// Guards against a stopping entry that accepts streams or calls that it cannot finish: one was cut off 7.3 s after
	// SIGTERM (csst-kiosk-net mix --seed 95478609023).
	bergamottest.Cases(map[string]shutdownCase{
		"serves streams until it would cut them off":       {false, false, bergamotconfig.RouteStreaming, "answered"},
		"refuses streams that it would cut off":            {true, false, bergamotconfig.RouteStreaming, "drain no"},
		"serves calls while it refuses streams":            {true, false, bergamotconfig.RouteNonIdempotent, "answered"},
		"serves repeatable calls while it refuses streams": {true, false, bergamotconfig.RouteIdempotent, "answered"},
		"refuses calls that it would cut off":              {true, true, bergamotconfig.RouteNonIdempotent, "drain no"},
		"refuses repeatable calls that it would cut off":   {true, true, bergamotconfig.RouteIdempotent, "drain no"},
	}, func(c shutdownCase) {
		g := newRig(route(bergamotconfig.RouteSpec{Type: c.repeat}), plain)
		f := &ShutdownFilter{IsRefusingStreams: func() bool { return c.refusingStreams }, IsRefusingAll: func() bool { return c.refusingAll }}
		err := f.Filter(context.Background(), g.x, bergamotstep.Func[*Exchange](func(context.Context, *Exchange) error { return nil }))
		gomega.Expect(outcomeOf(err)).To(gomega.Equal(c.want))
	})
})
