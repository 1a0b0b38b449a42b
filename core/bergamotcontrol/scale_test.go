package bergamotcontrol

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"bergamotspur/core/bergamotfleet"
)

// The test fleet has the shape of the fleet that the design targets: 34 models of 64 layers in four ranges each, and
// 5 data centres.
const (
	testModels  = 34
	testLayers  = 64
	testStages  = 4
	testCentres = 5
)

// fakeProber answers a probe of a runner of runnerSpec with its holdings, unless the runner is down, and counts the
// probes.
type fakeProber struct {
	down   map[string]bool // by address
	probes map[string]int  // by address
}

func newFakeProber() *fakeProber {
	return &fakeProber{down: map[string]bool{}, probes: map[string]int{}}
}

var errDown = errors.New("down")

func (p *fakeProber) Probe(_ context.Context, address string) (Report, error) {
	p.probes[address]++
	if p.down[address] {
		return Report{}, errDown
	}
	return NewReport(1, 0, false, holdingsOf(address)), nil
}

// holdingsOf returns the layer range that the runner holds, a quarter of a model.
func holdingsOf(name string) []bergamotfleet.Holding {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "runner-"))
	if err != nil {
		panic(err) // Only names of runnerSpec are used.
	}
	model, stage := n%testModels, n/testModels%testStages
	const size = testLayers / testStages
	return []bergamotfleet.Holding{bergamotfleet.NewHolding(modelName(model), "1", stage*size, (stage+1)*size)}
}

func modelName(n int) string { return fmt.Sprintf("model-%d", n) }

// runnerSpec returns the spec of the nth runner, whose address equals its name.
func runnerSpec(n int) bergamotfleet.Spec {
	name := fmt.Sprintf("runner-%04d", n)
	return bergamotfleet.Spec{
		Name: name, Address: name, DataCentre: fmt.Sprintf("centre-%d", n/7%testCentres),
		Kind: fmt.Sprintf("kind-%d", n%7), Role: bergamotfleet.RoleRunner, MaxLayers: 16,
	}
}

func newProbes(source Prober, entry int) *Probes {
	return &Probes{
		Source: source, Entry: fmt.Sprintf("entry-%d", entry), Centre: fmt.Sprintf("centre-%d", entry%testCentres),
		Period: time.Second, Timeout: time.Second, FailureThreshold: 3,
	}
}

// fleetState returns a state with the given number of runners.
func fleetState(runners int) *State {
	s := stateAt(0, 1)
	for n := range runners {
		s.PutInstance(bergamotfleet.NewInstance(runnerSpec(n)))
	}
	return s
}
