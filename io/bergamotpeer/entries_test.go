package bergamotpeer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfleet"
	"bergamotspur/core/bergamotmember"
	"bergamotspur/io/bergamotpeer"
)

var _ = ginkgo.Describe("entries", func() {
	// Guards against a transport, a controller and a membership protocol that pass their own tests but fail together.
	ginkgo.It("propagate the state of an instance between their control loops and count each other as live", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ca, names := newAuthority(ginkgo.GinkgoT().TempDir()), []string{"a", "b"}
		var peers []bergamotmember.Peer
		listeners := map[string]net.Listener{}
		for _, name := range names {
			listeners[name] = must(net.Listen("tcp", "127.0.0.1:0"))
			peers = append(peers, bergamotmember.NewPeer(name, listeners[name].Addr().String()))
		}
		done := make(chan error, 4)
		loops := map[string]*bergamotcontrol.Loop{}
		for n, name := range names {
			l := &bergamotcontrol.Loop{Clock: bergamotclock.Real{}, Period: 20 * time.Millisecond}
			client := &bergamotpeer.Client{TLS: ca.tlsConfig(name), Timeout: time.Minute}
			ginkgo.DeferCleanup(client.Close)
			in := &fakeInbox{counts: map[string]int{}}
			members := &bergamotcontrol.Members{
				Node:   bergamotmember.NewNode(peers[n], 1, rand.New(rand.NewPCG(1, uint64(n)))),
				Sender: client, Seeds: peers, Post: l.Post, Count: in.Count,
			}
			l.Controllers = []bergamotcontrol.Controller{members}
			l.Init()
			loops[name] = l
			s := &bergamotpeer.Server{Listener: listeners[name], TLS: ca.tlsConfig(name), Inbox: members, Counter: in}
			go func() { done <- s.Run(ctx) }()
			go func() { done <- l.Run(ctx) }()
		}
		ginkgo.DeferCleanup(func() {
			cancel()
			for range 4 {
				<-done
			}
		})
		put := func(name string, leaving bool) {
			loops[name].Post(bergamotcontrol.EventFunc(func(s *bergamotcontrol.State) {
				s.PutInstance(bergamotfleet.NewInstance(bergamotfleet.Spec{Name: "t", Role: bergamotfleet.RoleRunner, Leaving: leaving}))
			}))
		}
		put("a", true)
		put("b", false)
		gomega.Eventually(func() bool {
			i, ok := loops["b"].View().Fleet().Instance("t")
			return ok && i.ReportedByPeer() && loops["a"].View().EntryCount() == 2 && loops["b"].View().EntryCount() == 2
		}).WithTimeout(time.Minute).Should(gomega.BeTrue())
	})
})
