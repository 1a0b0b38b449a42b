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

// recorder keeps the arguments of the calls that it receives.
type recorder struct {
	tokenTimes []time.Duration
	failures   []string
	successes  int
}

func (r *recorder) RecordTokenTime(_ bergamotroute.Plan, token time.Duration) {
	r.tokenTimes = append(r.tokenTimes, token)
}

func (r *recorder) RecordFailure(_ bergamotroute.Plan, address string) {
	r.failures = append(r.failures, address)
}
func (r *recorder) RecordSuccess(bergamotroute.Plan) { r.successes++ }

// timedEngine is an engine and its only stream: each token takes tokenTime, then the stream fails with err or ends.
type timedEngine struct {
	bergamotsession.Engine
	clock     *bergamotclock.Virtual
	tokenTime time.Duration
	tokens    int
	err       error
	sent      int
}

func (e *timedEngine) Stream(context.Context, string, bergamotsession.Span, int) (bergamotsession.TokenStream, error) {
	return e, nil
}

func (e *timedEngine) Next(context.Context) (bergamotsession.Step, error) {
	if e.sent == e.tokens {
		return bergamotsession.Step{}, e.err
	}
	e.sent++
	e.clock.Advance(e.tokenTime)
	last := e.err == nil && e.sent == e.tokens
	return bergamotsession.NewStep(bergamotrequest.NewToken(e.sent-1, 0, "", last), bergamotsession.Proof{}), nil
}

func (e *timedEngine) Close() error { return nil }

type measuredCase struct {
	tokens     int
	err        error
	callerTime time.Duration // time that the caller takes for each token
	cancel     bool          // the caller is gone when the stream fails
	want       recorder
}

var _ = ginkgo.Describe("MeasuredEngine", func() {
	tokenTime, broken := 10*time.Millisecond, errors.New("broken")
	// Guards against a slow caller, or one that is gone, that makes instances look slow or failed.
	bergamottest.Cases(map[string]measuredCase{
		"records token times without the first":                      {9, nil, 0, false, recorder{[]time.Duration{tokenTime}, nil, 1}},
		"leaves out the times of a slow caller":                      {9, nil, time.Second, false, recorder{nil, nil, 1}},
		"records a failure of the stage that an error names":         {3, bergamotsession.NewStageError("b:1", errors.New("gone")), 0, false, recorder{nil, []string{"b:1"}, 0}},
		"records a failure of the last stage when its stream breaks": {3, broken, 0, false, recorder{nil, []string{"c:1"}, 0}},
		"records no failure when the caller is gone":                 {3, broken, 0, true, recorder{nil, nil, 0}},
	}, func(c measuredCase) {
		clock, got := bergamotclock.NewVirtual(time.Unix(1000, 0)), &recorder{}
		e := &bergamotsession.MeasuredEngine{
			Engine: &timedEngine{clock: clock, tokenTime: tokenTime, tokens: c.tokens, err: c.err}, Recorder: got, Clock: clock,
		}
		plan := bergamotroute.NewPlan(
			bergamotroute.NewStage("a", "a:1", 0, 4), bergamotroute.NewStage("b", "b:1", 4, 8), bergamotroute.NewStage("c", "c:1", 8, 12))
		span := bergamotsession.NewSpan(bergamotsession.SpanSpec{Session: "s", Attempt: 1, Plan: plan}, 2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stream, err := e.Stream(ctx, "c:1", span, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for n := 0; n < c.tokens; n++ {
			_, err = stream.Next(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			clock.Advance(c.callerTime)
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
