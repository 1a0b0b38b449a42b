package bergamotrelay

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotcluster"
	"bergamotspur/core/bergamotconfig"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotrequest"
	"bergamotspur/core/bergamottest"
)

type pathCase struct {
	begun int    // events before the runners pause
	other reply  // of the other path
	moves bool   // the other path takes over before the pause ends
	text  string // events that the caller received
}

var _ = ginkgo.Describe("a stream whose runners pause", func() {
	never := make(chan struct{})
	// Guards against streams that are cut off because the only other path refuses, fails or is silent too, although their own runners
	// only pause, and against events that come twice or are missing when it takes over.
	bergamottest.Cases(map[string]pathCase{
		"goes on when the other path refuses":            {2, reply{failure: rejected()}, false, "0 1 2 3 "},
		"goes on when the other path breaks off":         {2, reply{failure: reset()}, false, "0 1 2 3 "},
		"goes on when the other path fails":              {2, reply{status: 500, body: "no"}, false, "0 1 2 3 "},
		"goes on when the other path answers as a whole": {2, reply{body: "yes", whole: true}, false, "0 1 2 3 "},
		"begins when the other path answers as a whole":  {0, reply{body: "yes", whole: true}, false, "0 1 "},
		"goes on when the other path is silent":          {2, reply{delay: never}, false, "0 1 2 3 "},
		"moves when the other path accepts":              {2, reply{events: 3}, true, "0 1 2 3 4 "},
		"begins when the other path refuses":             {0, reply{failure: rejected()}, false, "0 1 "},
		"begins when the other path is silent":           {0, reply{delay: never}, false, "0 1 "},
		"begins over the other path when that accepts":   {0, reply{events: 3}, true, "0 1 2 "},
	}, func(c pathCase) {
		pause := make(chan struct{})
		first := reply{events: c.begun, pause: pause, rest: 2}
		g := newRig(route(resumable), model, first, c.other)
		g.budget.left = 1 // the other path is tried once
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- g.stream(ctx) }()
		gomega.Eventually(g.caller.received).WithTimeout(20 * time.Second).Should(gomega.HaveLen(2 * c.begun))
		gomega.Eventually(g.upstream.runners).WithTimeout(20 * time.Second).Should(gomega.HaveLen(1))
		g.clock.Advance(400 * time.Millisecond)
		gomega.Eventually(g.upstream.runners).WithTimeout(20 * time.Second).Should(gomega.HaveLen(2))
		if !c.moves {
			close(pause)
		}
		gomega.Eventually(done).WithTimeout(20 * time.Second).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(g.caller.received()).To(gomega.Equal(c.text))
		gomega.Expect(g.upstream.runners()).To(gomega.HaveLen(2))
		gomega.Expect(g.caller.starts).To(gomega.Equal(1))
	})

	// Guards against a stream that waits for a path because a runner whose answer was not needed counts as failed.
	ginkgo.It("may resume at a runner that was asked while it paused", func() {
		pause := make(chan struct{})
		g := newRig(route(bergamotconfig.RouteSpec{Type: bergamotconfig.RouteStreaming, Resumable: true, MaxAttempts: 3}), model,
			reply{events: 2, pause: pause, rest: 2, broken: true}, reply{delay: never}, reply{events: 1})
		g.views = fixedView{bergamotcluster.NewView(nil, 0, bergamotfleet.NewFleet([]bergamotfleet.Instance{instance("x", "llm"), instance("y", "llm")}))}
		done := make(chan error, 1)
		go func() { done <- g.stream(context.Background()) }()
		gomega.Eventually(g.caller.received).WithTimeout(20 * time.Second).Should(gomega.HaveLen(4))
		g.clock.Advance(400 * time.Millisecond)
		gomega.Eventually(g.upstream.runners).WithTimeout(20 * time.Second).Should(gomega.HaveLen(2))
		close(pause)
		gomega.Eventually(done).WithTimeout(20 * time.Second).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(g.caller.received()).To(gomega.Equal("0 1 2 3 4 "))
		gomega.Expect(g.clock.Now()).To(gomega.Equal(now.Add(400*time.Millisecond)), "it waited for a path")
	})

	// Guards against a refusal as not run of a request that another runner has accepted meanwhile.
	ginkgo.It("may have run when it ends before the runner that has accepted it goes on", func() {
		g := newRig(route(resumable), model)
		s := &streamState{handler: g.streamHandler(g.upstream, silentReporter{}), x: g.x}
		for _, accepted := range []bool{false, true} {
			o := newOpened(context.Background(), twoStages, now)
			if accepted {
				o.response = &fakeResponse{}
			}
			s.abandon(o)
			gomega.Expect(s.runState() != bergamotrequest.RunNo).To(gomega.Equal(accepted))
		}
	})

	// Guards against an answer that is complete but held until a runner which was asked meanwhile has given its report.
	ginkgo.It("ends while the runner that refused it is asked why", func() {
		pause, release := make(chan struct{}), make(chan struct{})
		defer close(release)
		g := newRig(route(resumable), model, reply{events: 2, pause: pause, rest: 2}, reply{failure: rejected()})
		asked := &slowReporter{upstream: g.upstream, asked: make(chan struct{}, 8), release: release}
		h := g.streamHandler(g.upstream, asked)
		done := make(chan error, 1)
		go func() { done <- h.Handle(context.Background(), g.x) }()
		gomega.Eventually(g.caller.received).WithTimeout(20 * time.Second).Should(gomega.HaveLen(4))
		g.clock.Advance(400 * time.Millisecond)
		gomega.Eventually(asked.asked).WithTimeout(20 * time.Second).Should(gomega.Receive())
		close(pause)
		gomega.Eventually(done).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(g.caller.received()).To(gomega.Equal("0 1 2 3 "))
	})
})

// slowReporter holds back reports from the second attempt on.
type slowReporter struct {
	upstream *upstream
	asked    chan struct{}
	release  chan struct{}
}

func (r *slowReporter) Report(ctx context.Context, address string) (bergamotcluster.Report, error) {
	if len(r.upstream.runners()) > 1 {
		r.asked <- struct{}{}
		<-r.release
	}
	return silentReporter{}.Report(ctx, address)
}
