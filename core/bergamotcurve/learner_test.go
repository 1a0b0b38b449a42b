package bergamotcurve_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcurve"
	"bergamotspur/core/bergamottest"
)

func TestCurve(t *testing.T) { bergamottest.Run(t, "curve") }

// learn returns a learner that observed random paths of one of four first and one of four last stages. The true time of a
// layer is the initial value times the factor of its instance.
func learn(factor map[string]float64, rounds int) *bergamotcurve.Learner {
	l := bergamotcurve.NewLearner()
	l.SetInitialCurve("cpu", bergamotcurve.NewCurve(100, 20))
	random := rand.New(rand.NewPCG(1, 2))
	for range rounds {
		var stages []bergamotcurve.Stage
		us := 2 * 50.0
		for _, stage := range []string{"first", "last"} {
			name := fmt.Sprintf("%s%d", stage, random.IntN(4))
			batch := float64(1 + random.IntN(10))
			f, ok := factor[name]
			if !ok {
				f = 1
			}
			us += f * 10 * (100 + 20*(batch-1))
			stages = append(stages, bergamotcurve.NewStage(name, "cpu", "tartu", 10, batch))
		}
		l.Observe(stages, time.Duration(us*(0.95+0.1*random.Float64()))*time.Microsecond)
	}
	return l
}

type learnCase struct {
	factor map[string]float64
	want   map[string]float64
}

var _ = ginkgo.Describe("learner", func() {
	// Guards against attributing the time of a slow first stage to the last stage, which returns the tokens, and the reverse.
	bergamottest.Cases(map[string]learnCase{
		"finds a slow first stage": {map[string]float64{"first2": 4}, map[string]float64{"first2": 4, "last0": 1, "last3": 1, "first0": 1}},
		"finds a slow last stage":  {map[string]float64{"last1": 3}, map[string]float64{"last1": 3, "first0": 1, "first1": 1, "last2": 1}},
		"finds a fast stage":       {map[string]float64{"first1": 0.5}, map[string]float64{"first1": 0.5, "last0": 1, "first0": 1}},
	}, func(c learnCase) {
		l := learn(c.factor, 600)
		for name, f := range c.want {
			want := f * (100 + 20*4)
			gomega.Expect(l.Curve(name, "cpu").LayerTime(5)).To(gomega.BeNumerically("~", want, 0.25*want), name)
		}
	})

	// Guards against new instances that start from the value in the bundle although their kind is known to be slower.
	ginkgo.It("starts a new instance from the learned value of its kind", func() {
		all := map[string]float64{}
		for n := range 4 {
			all[fmt.Sprintf("first%d", n)], all[fmt.Sprintf("last%d", n)] = 2, 2
		}
		l := learn(all, 600)
		gomega.Expect(l.Curve("new", "cpu").LayerTime(5)).To(gomega.BeNumerically("~", 360, 90))
	})

	// Guards against a slow link that makes the stages behind it look slow for more than a few hundred tokens.
	ginkgo.It("finds a degraded link", func() {
		l := bergamotcurve.NewLearner()
		l.SetInitialCurve("cpu", bergamotcurve.NewCurve(100, 20))
		random := rand.New(rand.NewPCG(3, 4))
		centres := []string{"tallinn", "tartu", "narva"}
		for range 400 {
			first, last := random.IntN(3), random.IntN(3)
			us := 2 * 10 * 180.0
			for _, transfer := range [][2]int{{first, last}, {last, first}} {
				switch {
				case transfer == [2]int{0, 1}:
					us += 20000
				case transfer[0] != transfer[1]:
					us += 300
				default:
					us += 50
				}
			}
			l.Observe([]bergamotcurve.Stage{
				bergamotcurve.NewStage(fmt.Sprint("first", first), "cpu", centres[first], 10, 5),
				bergamotcurve.NewStage(fmt.Sprint("last", last), "cpu", centres[last], 10, 5),
			}, time.Duration(us)*time.Microsecond)
		}
		both := l.LinkTime("tallinn", "tartu") + l.LinkTime("tartu", "tallinn")
		gomega.Expect(both).To(gomega.BeNumerically(">", 10000))
		gomega.Expect(l.LinkTime("tallinn", "narva")).To(gomega.BeNumerically("<", 4000))
		gomega.Expect(l.Curve("first2", "cpu").LayerTime(5)).To(gomega.BeNumerically("<", 360))
	})

	// Guards against a bottleneck that is chosen by its position in the path.
	ginkgo.It("returns the stage that takes the most time", func() {
		l := learn(map[string]float64{"first2": 4}, 600)
		parts := []bergamotcurve.Stage{
			bergamotcurve.NewStage("first2", "cpu", "tartu", 10, 5), bergamotcurve.NewStage("last0", "cpu", "tartu", 10, 5),
		}
		gomega.Expect(l.Bottleneck(parts)).To(gomega.Equal(0))
	})

	// Guards against memory that grows with each replaced instance.
	ginkgo.It("forgets instances that left", func() {
		l := learn(map[string]float64{"first2": 4}, 600)
		l.Keep(func(string) bool { return false })
		gomega.Expect(l.Curve("first2", "cpu")).To(gomega.Equal(l.Curve("other", "cpu")))
	})
})

var _ = ginkgo.Describe("curve", func() {
	// Guards against a curve whose time is proportional to the batch, which would make batching look useless.
	ginkgo.It("gives a larger batch a higher rate and less than proportional time", func() {
		c := bergamotcurve.NewCurve(100, 20)
		gomega.Expect(c.LayerTime(10)).To(gomega.BeNumerically("<", 10*c.LayerTime(1)))
		gomega.Expect(c.Rate(10)).To(gomega.BeNumerically(">", c.Rate(1)))
		gomega.Expect(c.LayerTime(c.LargestBatch(200, 64))).To(gomega.BeNumerically("<=", 200))
	})
})
