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

// The fleet of the tests has the target's shape: 34 models of 64 layers, each in four ranges, 5 data centres.
const (
	testModels  = 34
	testLayers  = 64
	testStages  = 4
	testCentres = 5
)

// prober answers for runner-N with what it holds, unless its name is down; it counts the probes.
type prober struct {
	down   map[string]bool
	probes map[string]int
}

func newProber() *prober { return &prober{down: map[string]bool{}, probes: map[string]int{}} }

var errDown = errors.New("down")

func (p *prober) Probe(_ context.Context, address string) (Report, error) {
	p.probes[address]++
	if p.down[address] {
		return Report{}, errDown
	}
	return NewReport(1, 0, false, holdingsOf(address)), nil
}

// holdingsOf returns the quarter of a model that the runner holds; a runner's address is its name here.
func holdingsOf(name string) []bergamotfleet.Holding {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "runner-"))
	if err != nil {
		panic(err) // The names are those of runnerSpec.
	}
	model, stage := n%testModels, n/testModels%testStages
	const size = testLayers / testStages
	return []bergamotfleet.Holding{bergamotfleet.NewHolding(modelName(model), "1", stage*size, (stage+1)*size)}
}

func modelName(n int) string { return fmt.Sprintf("model-%d", n) }

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
		Period: time.Second, Timeout: time.Second, Misses: 3,
	}
}

// fleetState returns a state in which the given number of runners is listed.
func fleetState(runners int) *State {
	s := stateAt(0, 1)
	for n := range runners {
		s.PutInstance(bergamotfleet.NewInstance(runnerSpec(n)))
	}
	return s
}
