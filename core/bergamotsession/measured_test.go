package bergamotsession_test

import (
	"context"
	"errors"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamotroute"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/core/bergamottest"
)

// seen notes what an observer was told.
type seen struct {
	tokens []time.Duration
	failed []string
	ended  int
}

func (s *seen) Observe(_ bergamotroute.Plan, token time.Duration) { s.tokens = append(s.tokens, token) }
func (s *seen) Failed(_ bergamotroute.Plan, address string)       { s.failed = append(s.failed, address) }
func (s *seen) Succeeded(bergamotroute.Plan)                      { s.ended++ }

// timed is an engine and its stream: each token takes step, then the stream fails with err or ends.
type timed struct {
	bergamotsession.Engine
	clock  *bergamotclock.Virtual
	step   time.Duration
	tokens int
	err    error
	sent   int
}

func (t *timed) Stream(context.Context, string, bergamotsession.Span, int) (bergamotsession.TokenStream, error) {
	return t, nil
}

func (t *timed) Next(context.Context) (bergamotsession.Step, error) {
	if t.sent == t.tokens {
		return bergamotsession.Step{}, t.err
	}
	t.sent++
	t.clock.Advance(t.step)
	last := t.err == nil && t.sent == t.tokens
	return bergamotsession.NewStep(bergamotrequest.NewToken(t.sent-1, 0, "", last), bergamotsession.Proof{}), nil
}

func (t *timed) Close() error { return nil }

type watchCase struct {
	tokens int
	err    error
	pause  time.Duration // time that the caller takes for each token
	cancel bool          // the caller is gone when the stream fails
	want   seen
}

var _ = ginkgo.Describe("watch", func() {
	step, broken := 10*time.Millisecond, errors.New("broken")
	// Guards against a slow or departed caller that makes instances look slow or failed.
	bergamottest.Cases(map[string]watchCase{
		"observes token times without the first": {9, nil, 0, false, seen{[]time.Duration{step}, nil, 1}},
		"leaves out the times of a slow caller":  {9, nil, time.Second, false, seen{nil, nil, 1}},
		"blames the stage that an error names":   {3, bergamotsession.NewStageError("b:1", errors.New("gone")), 0, false, seen{nil, []string{"b:1"}, 0}},
		"blames the last stage for its stream":   {3, broken, 0, false, seen{nil, []string{"c:1"}, 0}},
		"blames nobody when the caller left":     {3, broken, 0, true, seen{nil, nil, 0}},
	}, func(c watchCase) {
		clock, got := bergamotclock.NewVirtual(time.Unix(1000, 0)), &seen{}
		w := &bergamotsession.MeasuredEngine{
			Engine: &timed{clock: clock, step: step, tokens: c.tokens, err: c.err}, Learner: got, Clock: clock,
		}
		plan := bergamotroute.NewPlan(
			bergamotroute.NewStage("a", "a:1", 0, 4), bergamotroute.NewStage("b", "b:1", 4, 8), bergamotroute.NewStage("c", "c:1", 8, 12))
		span := bergamotsession.NewSpan(bergamotsession.SpanSpec{Session: "s", Attempt: 1, Plan: plan}, 2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stream, err := w.Stream(ctx, "c:1", span, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for n := 0; n < c.tokens; n++ {
			_, err = stream.Next(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			clock.Advance(c.pause)
		}
		if c.err != nil {
			if c.cancel {
				cancel()
			}
			_, err = stream.Next(ctx)
			gomega.Expect(err).To(gomega.MatchError(c.err))
		}
		gomega.Expect(*got).To(gomega.Equal(c.want))
	})
})
