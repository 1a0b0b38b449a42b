package bergamotconfig_test

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamottest"
)

func route(name, host, prefix string, split ...bergamotconfig.Share) bergamotconfig.Route {
	return bergamotconfig.NewRoute(bergamotconfig.RouteSpec{Name: name, Host: host, Prefix: prefix, Split: split})
}

type matchCase struct {
	host, path string
	want       string // name of the route, empty for none
}

var _ = ginkgo.Describe("Config.Match", func() {
	c := bergamotconfig.New(bergamotconfig.Spec{Version: 1, Routes: []bergamotconfig.Route{
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"),
	}})
	// Guards against requests that are sent to the service of another route or host.
	bergamottest.Cases(map[string]matchCase{
		"takes the longest prefix":              {"a.example", "/x/y/1", "long"},
		"takes a shorter prefix":                {"a.example", "/x/z", "short"},
		"keeps hosts apart":                     {"b.example", "/x/y/1", "other"},
		"finds none for another path":           {"a.example", "/z/", ""},
		"finds none for a prefix without slash": {"a.example", "/x", ""},
		"finds none for another host":           {"c.example", "/x/", ""},
	}, func(k matchCase) {
		r, ok := c.Match(k.host, k.path)
		gomega.Expect(ok).To(gomega.Equal(k.want != ""))
		gomega.Expect(r.Name()).To(gomega.Equal(k.want))
	})
})

type splitCase struct {
	draw float64
	want string
}

var _ = ginkgo.Describe("Route.SelectService", func() {
	r := route("r", "a.example", "/", bergamotconfig.Share{Service: "old", Weight: 90}, bergamotconfig.Share{Service: "new", Weight: 10})
	// Guards against a split that sends all requests to one of its services.
	bergamottest.Cases(map[string]splitCase{
		"selects the first for the lowest draw": {0, "old"},
		"selects the first up to its weight":    {0.89, "old"},
		"selects the last beyond that weight":   {0.91, "new"},
		"selects the last for the highest draw": {0.999999, "new"},
	}, func(k splitCase) { gomega.Expect(r.SelectService(k.draw)).To(gomega.Equal(k.want)) })
})

type retryCase struct {
	routeType bergamotconfig.RouteType
	resumable bool
	want      bool
}

var _ = ginkgo.Describe("Route.IsRetryable", func() {
	// Guards against a second run of a request whose route does not allow it.
	bergamottest.Cases(map[string]retryCase{
		"is false for the zero type":                   {bergamotconfig.RouteNonIdempotent, false, false},
		"is false for the zero type even if resumable": {bergamotconfig.RouteNonIdempotent, true, false},
		"is true for idempotent requests":              {bergamotconfig.RouteIdempotent, false, true},
		"is false for streams":                         {bergamotconfig.RouteStreaming, false, false},
		"is true for resumable streams":                {bergamotconfig.RouteStreaming, true, true},
	}, func(k retryCase) {
		r := bergamotconfig.NewRoute(bergamotconfig.RouteSpec{Type: k.routeType, Resumable: k.resumable})
		gomega.Expect(r.IsRetryable()).To(gomega.Equal(k.want))
	})
})
