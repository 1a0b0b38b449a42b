//go:build crowd

package bergamotcrowd

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
)

const (
	// specTime ends a spec whose process hangs. It is far above the few seconds that a spec needs.
	specTime = 5 * time.Minute
	// stopMargin is how much longer than its grace time an entry may take to end.
	stopMargin = time.Minute
)

// loads are the client loads by name. They are fixed: on the code before the limits each exceeded the bound of the memory or
// of the descriptors, except the two that docs/design/overload-tests.md calls guards.
var loads = map[string]load{
	"chunked bodies in large chunks":            {clients: 90, begin: chunkedBody(pieceSize, gap)},
	"chunked bodies in very small chunks":       {clients: 90, begin: chunkedBody(4, gap)},
	"chunked bodies without their last chunk":   {clients: 90, begin: chunkedBody(pieceSize, 0)},
	"bodies with a length that stop short":      {clients: 90, begin: declaredBody(1, 1)},
	"bodies declared far over the limit":        {clients: 90, begin: declaredBody(excess, gap), finish: moreBody},
	"bodies far over the limit, not declared":   {clients: 90, begin: chunkedBody(pieceSize, gap), finish: moreChunks},
	"heads of short lines":                      {clients: 300, begin: fullHead("/o/1", maxHead, shortLine)},
	"heads of odd lines":                        {clients: 450, begin: fullHead("/o/1", maxHead, oddLine)},
	"heads at the port for other entries":       {clients: 12, target: peerPort, begin: fullHead("/follow", peerHead, shortLine)},
	"bodies at the port for other entries":      {clients: 90, target: peerPort, begin: declaredBody(excess, gap), finish: moreBody},
	"answers that are not read":                 {clients: 20, begin: call(pathLarge), readsNothing: true},
	"more connections than descriptors":         {clients: 900, begin: nothing},
	"calls that a runner answers without end":   {clients: 24, begin: call("/o/endless")},
	"streams that a runner answers without end": {clients: 24, begin: call("/s/endless")},
}

// overloadCase is a set of loads that are open at the same time.
type overloadCase struct {
	loads   []string
	share   int                      // the loads have their number of clients divided by it, 0 for all
	endless bergamotfake.EndlessPart // part of the answers of runners that never ends
	stops   bool                     // the entry is asked to stop while the load is open
}

// Guards against a process that clients or runners make end, hang, or exceed the memory or the descriptors of its machine.
var _ = ginkgo.Describe("an entry under overload lives", ginkgo.Serial, func() {
	bergamottest.Cases(overloadCases(), overload)
})

func overloadCases() map[string]overloadCase {
	cases := map[string]overloadCase{
		"by all loads at once": {share: 3, endless: bergamotfake.EndlessBody},
		"while it stops": {
			loads: []string{"chunked bodies in large chunks", "bodies with a length that stop short"}, stops: true,
		},
	}
	all := cases["by all loads at once"]
	for name := range loads {
		c := overloadCase{loads: []string{name}}
		switch name {
		case "calls that a runner answers without end":
			c.endless = bergamotfake.EndlessBody
		case "streams that a runner answers without end":
			c.endless = bergamotfake.EndlessEvent
		}
		cases["by "+name] = c
		all.loads = append(all.loads, name)
	}
	cases["by all loads at once"] = all
	return cases
}

// overload opens the loads of a case, and checks the process while they are open and after they are closed.
func overload(c overloadCase) {
	ctx, cancel := context.WithTimeout(context.Background(), specTime)
	defer cancel()
	d := newDeployment(ctx, testedMachine())
	idlePeak, idleOpen := d.entry.figures()
	d.sendEndless(c.endless)
	var held *crowd
	if c.stops {
		held = load{clients: 10, begin: call(pathHeld)}.open(ctx, d)
		gomega.Eventually(ctx, d.held.Load).Should(gomega.BeNumerically("==", len(held.clients)), d.entry.log.tail)
	}
	crowds := openAll(ctx, d, c)
	d.entry.waitSettled(ctx)
	connected := 0
	for _, o := range crowds {
		connected += o.connected()
	}
	d.waitOperable(ctx)
	during := d.send(ctx, "/o/1").status
	if c.stops {
		stop(ctx, d, held)
	}
	for _, o := range crowds {
		o.close()
	}
	d.sendEndless("")
	if !c.stops {
		d.waitServed(ctx, "/o/1")
		d.entry.expectAlive()
	}
	peak, open := d.entry.figures()
	fmt.Printf("%s: idle %d MB, peak %d MB of %d; idle %d descriptors, most %d of %d; %d clients connected; a call meanwhile got %d\n",
		ginkgo.CurrentSpecReport().LeafNodeText, idlePeak/1e6, peak/1e6, d.machine.maxPeak()/1e6, idleOpen, open, d.machine.maxOpen(), connected, during)
	gomega.Expect(peak).To(gomega.BeNumerically(">=", idlePeak)) // it was measured
	gomega.Expect(open).To(gomega.BeNumerically(">", 0))
	gomega.Expect(peak).To(gomega.BeNumerically("<=", d.machine.maxPeak()), "peak resident memory in bytes")
	gomega.Expect(open).To(gomega.BeNumerically("<=", d.machine.maxOpen()), "open descriptors")
}

// openAll opens the loads of a case at the same time.
func openAll(ctx context.Context, d *deployment, c overloadCase) []*crowd {
	crowds, opened := make([]*crowd, len(c.loads)), make(chan struct{})
	var active sync.WaitGroup
	for i, name := range c.loads {
		l := loads[name]
		l.clients /= max(c.share, 1)
		active.Go(func() {
			defer ginkgo.GinkgoRecover()
			crowds[i] = l.open(ctx, d)
		})
	}
	go func() {
		defer close(opened)
		active.Wait()
	}()
	gomega.Eventually(ctx, opened).Should(gomega.BeClosed(), d.entry.log.tail)
	gomega.Expect(crowds).NotTo(gomega.ContainElement(gomega.BeNil()))
	return crowds
}

// stop asks the entry to stop and checks that it ends by itself, and that the clients with complete requests have got an
// answer or a closed connection.
func stop(ctx context.Context, d *deployment, held *crowd) {
	gomega.Expect(d.entry.cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	close(d.released)
	gomega.Eventually(ctx, d.entry.ended).WithTimeout(graceTime+stopMargin).Should(gomega.BeClosed(), d.entry.log.tail)
	gomega.Expect(d.entry.err).NotTo(gomega.HaveOccurred(), d.entry.log.tail())
	for _, client := range held.clients {
		gomega.Eventually(ctx, client.ended).Should(gomega.BeClosed())
		gomega.Expect(client.firstBytes()).To(gomega.Or(gomega.BeEmpty(), gomega.HavePrefix("HTTP/1.1 ")))
	}
}
