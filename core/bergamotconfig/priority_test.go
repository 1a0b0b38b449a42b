package bergamotconfig

import (
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
)

type priorityCase struct {
	routes     []RouteSpec
	workspaces []Workspace
	noKeys     bool
	differ     bool
	mostUrgent int
	outOfRange int
}

var _ = ginkgo.Describe("priorities of a service", func() {
	to := func(service string, priority int, public bool) RouteSpec {
		return RouteSpec{Priority: priority, Public: public, Split: []Share{{Service: service, Weight: 1}}}
	}
	// Guards against an admission that acts where all requests have the same priority, or does not where they differ.
	bergamottest.Cases(map[string]priorityCase{
		"are the same for one route":                            {routes: []RouteSpec{to("llm", 3, false)}, mostUrgent: 3},
		"are the same for equal routes":                         {routes: []RouteSpec{to("llm", 3, false), to("llm", 3, true)}, mostUrgent: 3},
		"differ between routes":                                 {routes: []RouteSpec{to("llm", 3, false), to("llm", 1, false)}, differ: true, mostUrgent: 1},
		"are the same if the other route is to another service": {routes: []RouteSpec{to("llm", 3, false), to("app", 1, false)}, mostUrgent: 3},
		"differ with a workspace":                               {routes: []RouteSpec{to("llm", 3, false)}, workspaces: []Workspace{NewWorkspace("w").WithPriority(0)}, differ: true},
		"are the same with a workspace on public routes":        {routes: []RouteSpec{to("llm", 3, true)}, workspaces: []Workspace{NewWorkspace("w").WithPriority(0)}, mostUrgent: 3},
		"are the same with a workspace where no key is needed":  {routes: []RouteSpec{to("llm", 3, false)}, workspaces: []Workspace{NewWorkspace("w").WithPriority(0)}, noKeys: true, mostUrgent: 3},
		"are the same for values above the range":               {routes: []RouteSpec{to("llm", 9, false), to("llm", 40, false)}, mostUrgent: 9, outOfRange: 1},
		"are the same for values below the range":               {routes: []RouteSpec{to("llm", 0, false), to("llm", -4, false)}, outOfRange: 1},
	}, func(c priorityCase) {
		spec := Spec{RequiresKey: !c.noKeys, Keys: map[string]Workspace{}}
		for _, r := range c.routes {
			spec.Routes = append(spec.Routes, NewRoute(r))
		}
		for _, w := range c.workspaces {
			spec.Keys[w.Name()] = w
		}
		config := New(spec)
		gomega.Expect(config.Priorities("llm").Differ()).To(gomega.Equal(c.differ))
		gomega.Expect(config.Priorities("llm").MostUrgent()).To(gomega.Equal(c.mostUrgent))
		routes, keys := config.OutOfRange()
		gomega.Expect(routes + keys).To(gomega.Equal(c.outOfRange))
		gomega.Expect(config.Priorities("none").Differ()).To(gomega.BeFalse())
	})
})
