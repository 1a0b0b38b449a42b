package bergamotfilter_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotchain"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotplacement"
	"bergamotspur/core/bergamottest"
)

func runner(name, version string, from, to int) bergamotfleet.Instance {
	return bergamottest.Runner(name, "care", version, from, to)
}

type versionCase struct {
	fleet []bergamotfleet.Instance
	want  string
}

// Guards against an interruption while the runners change from one version to the next. baseBundle declares version 1.
var _ = ginkgo.Describe("Version", func() {
	bergamottest.Cases(map[string]versionCase{
		"uses the declared version when all its layers are held":  {[]bergamotfleet.Instance{runner("a", "0", 0, 12), runner("b", "1", 0, 12)}, "1"},
		"uses an older version until then":                        {[]bergamotfleet.Instance{runner("a", "0", 0, 12), runner("b", "1", 0, 6)}, "0"},
		"uses the declared version when no version is held whole": {[]bergamotfleet.Instance{runner("a", "0", 0, 6)}, "1"},
	}, func(c versionCase) {
		r := bergamottest.Request(baseSpec())
		view := bergamotcontrol.NewView(epoch, baseView().Bundle(), bergamotfleet.NewFleet(c.fleet))
		x := bergamotchain.NewExchange(r, view, nil)
		versions := &bergamotplacement.Versions{Clock: bergamotclock.NewVirtual(epoch), MaxAge: time.Second}
		called, err := runFilters(x, &bergamotfilter.Version{Versions: versions})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(called).To(gomega.BeTrue())
		gomega.Expect(x.Pipeline().Model().Version()).To(gomega.Equal(c.want))
	})
})
