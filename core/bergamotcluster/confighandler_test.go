package bergamotcluster_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotstore"
	"bergamotspur/core/bergamottest"
)

// serviceDecoder decodes a row as the version of a configuration and the name of its service.
type serviceDecoder struct{}

func (serviceDecoder) Config(value []byte) (*bergamotconfig.Config, error) {
	services := []bergamotconfig.Service{bergamotconfig.NewService(string(value[1:]), nil)}
	return bergamotconfig.New(bergamotconfig.Spec{Version: int64(value[0] - '0'), Services: services}), nil
}

type restoredConfigCase struct {
	restored string   // row in the copy, empty for none
	kept     bool     // the row is the lost one, which the copy of the table has kept
	after    []string // writes after the restore
	want     string   // version and service in force
	taken    int      // configurations that took effect after the restore
	lost     []bool   // calls of OnLost
}

var _ = ginkgo.Describe("a configuration in a restored table", func() {
	// Guards against an older version that comes back with an older copy, and against a version with another content that is taken
	// for the lost one of the same number.
	bergamottest.Cases(map[string]restoredConfigCase{
		"stays in force while the store has an older one":     {restored: "5old", want: "7own", lost: []bool{true}},
		"stays in force while the store has none":             {want: "7own", lost: []bool{true}},
		"is the same one when it is written again":            {restored: "5old", after: []string{"7own"}, want: "7own", lost: []bool{true, false}},
		"is lost although the copy of the table has kept it":  {restored: "7own", kept: true, after: []string{"7own"}, want: "7own", lost: []bool{true, false}},
		"is replaced by a newer one":                          {restored: "5old", after: []string{"8new"}, want: "8new", taken: 1, lost: []bool{true, false}},
		"is replaced by another one of its number":            {restored: "5old", after: []string{"7new"}, want: "7new", taken: 1, lost: []bool{true, false}},
		"is replaced by another one in the whole table":       {restored: "7new", want: "7new", taken: 1},
		"is replaced by the last one of its number":           {restored: "7new", after: []string{"7own"}, want: "7own", taken: 2},
		"stays in force while the operator writes older ones": {restored: "5old", after: []string{"6new", "7own"}, want: "7own", lost: []bool{true, false}},
	}, func(c restoredConfigCase) {
		var taken int
		keptEra := map[bool]int64{true: 1}
		var lost []bool
		h := &bergamotcluster.ConfigHandler{
			Key: "config", Decoder: serviceDecoder{}, OnConfig: func(int64, error) { taken++ },
			OnLost: func(_, _ int64, l bool) { lost = append(lost, l) },
		}
		s := newState(time.Second)
		h.Replace(s, []bergamotstore.Row{bergamotstore.NewRow("config", 40, []byte("7own"))})
		taken = 0
		h.EraChanged(s, 1, 2)
		var rows []bergamotstore.Row
		revision := int64(20)
		if c.restored != "" {
			rows = append(rows, bergamotstore.NewRow("config", revision, []byte(c.restored)).In(keptEra[c.kept]))
		}
		h.Replace(s, rows)
		for _, value := range c.after {
			revision++
			h.ApplyChange(s, bergamotstore.NewChange(bergamotstore.NewRow("config", revision, []byte(value)), false))
		}
		gomega.Expect(s.Config().Version()).To(gomega.Equal(int64(c.want[0] - '0')))
		gomega.Expect(s.Config().Services()[0].Name()).To(gomega.Equal(c.want[1:]))
		gomega.Expect(taken).To(gomega.Equal(c.taken))
		gomega.Expect(lost).To(gomega.Equal(c.lost))
	})
})
