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

var _ = ginkgo.Describe("the choice of a route", func() {
	c := bergamotconfig.New(bergamotconfig.Spec{Version: 1, Routes: []bergamotconfig.Route{
		route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/x/"),
	}})
	// Guards against requests that reach the service of another route or host.
	bergamottest.Entries(map[string]matchCase{
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

var _ = ginkgo.Describe("the services of a route", func() {
	r := route("r", "a.example", "/", bergamotconfig.Share{Service: "old", Weight: 90}, bergamotconfig.Share{Service: "new", Weight: 10})
	// Guards against a split that sends requests to one of its services only.
	bergamottest.Entries(map[string]splitCase{
		"begin with the first":         {0, "old"},
		"share by weight":              {0.89, "old"},
		"reach the last by its weight": {0.91, "new"},
		"end with the last":            {0.999999, "new"},
	}, func(k splitCase) { gomega.Expect(r.Service(k.draw)).To(gomega.Equal(k.want)) })
})

type repeatCase struct {
	repeat    bergamotconfig.Repeat
	resumable bool
	want      bool
}

var _ = ginkgo.Describe("the permission to repeat", func() {
	// Guards against a second run of a request whose route does not allow it.
	bergamottest.Entries(map[string]repeatCase{
		"is absent for an unknown kind":             {bergamotconfig.RepeatNever, false, false},
		"is absent for an unknown kind with resume": {bergamotconfig.RepeatNever, true, false},
		"is given for idempotent requests":          {bergamotconfig.RepeatAny, false, true},
		"is absent for streams":                     {bergamotconfig.RepeatStream, false, false},
		"is given for streams that may be resumed":  {bergamotconfig.RepeatStream, true, true},
	}, func(k repeatCase) {
		r := bergamotconfig.NewRoute(bergamotconfig.RouteSpec{Repeat: k.repeat, Resumable: k.resumable})
		gomega.Expect(r.Repeatable()).To(gomega.Equal(k.want))
	})
})
