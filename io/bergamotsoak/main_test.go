package bergamotsoak

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"bergamotspur/core/bergamottest"
	"bergamotspur/io/bergamotfake"
	bergamotplatform "bergamotspur/platform"
)

// childEnv names the settings file of an entry, which makes the test binary run one instead of the tests; gateEnv is the address of
// its gate to the runners.
const (
	childEnv = "BERGAMOTSPUR_SOAK_CHILD"
	gateEnv  = "BERGAMOTSPUR_SOAK_GATE"
)

func TestMain(m *testing.M) {
	if settings := os.Getenv(childEnv); settings != "" {
		os.Exit(runEntry(settings, os.Getenv(gateEnv)))
	}
	os.Exit(m.Run())
}

// runEntry runs an entry, whose connections to runners go through a gate, until the process gets SIGTERM.
func runEntry(settings, gate string) (code int) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	p := &bergamotplatform.Program{Out: os.Stdout, Settings: settings, DialRunner: bergamotfake.GateDialer(gate)}
	if err := p.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func TestSoak(t *testing.T) { bergamottest.Run(t, "soak") }
