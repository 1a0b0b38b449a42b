package bergamotcommand

import (
	"context"
	"fmt"
	"time"

	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
	"bergamotspur/io/bergamotwire"
)

type fakeCommand struct {
	Kind     string        `arg:"" enum:"platform,engine,service" help:"What to run: platform, engine or service."`
	Address  string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Platform string        `help:"Address of the platform whose instance list the target joins."`
	Name     string        `default:"fake" help:"Name of the instance."`
	Centre   string        `default:"north" help:"Data centre of the instance."`
	Role     string        `default:"pickup" help:"Name of the service."`
	Model    string        `default:"care" help:"Model of the engine."`
	From     int           `help:"First layer of the engine."`
	To       int           `default:"12" help:"Layer after the engine's last one."`
	Step     time.Duration `help:"Time of one batch of the engine."`
}

// fakeServer is a fake of the platform, an engine or a service.
type fakeServer interface {
	Start(address string) error
	Address() string
	Run(ctx context.Context) error
}

// Run starts one fake, prints its address and serves until the process is stopped.
func (c *fakeCommand) Run(s *streams) (err error) {
	fake, role := c.newFake()
	if err = fake.Start(c.Address); err != nil {
		return err
	}
	if c.Platform != "" {
		if err = c.joinInstanceList(s.ctx, fake.Address(), role); err != nil {
			return err
		}
	}
	s.printf("address=%s\n", fake.Address())
	return fake.Run(s.ctx)
}

// newFake returns the fake and the role under which it joins the instance list, empty for the platform.
func (c *fakeCommand) newFake() (fake fakeServer, role string) {
	switch c.Kind {
	case "platform":
		return bergamotfake.NewPlatform(), ""
	case "service":
		return bergamotfake.NewService(), c.Role
	default:
		e := bergamotfake.NewEngine(bergamotengine.HoldingMessage{Model: c.Model, Version: "1", From: c.From, To: c.To})
		e.StepTime = c.Step
		return e, "runner"
	}
}

// joinInstanceList adds the fake to the platform's instance list.
func (c *fakeCommand) joinInstanceList(ctx context.Context, address, role string) error {
	wire := bergamotwire.NewClient()
	defer wire.Close()
	m := bergamotlist.InstanceMessage{
		Name: c.Name, Address: address, Centre: c.Centre, Kind: "cpu", Role: role, MaxLayers: c.To - c.From, State: "live",
	}
	if err := wire.Post(ctx, c.Platform, "/instances", m, nil); err != nil {
		return fmt.Errorf("join the instance list: %w", err)
	}
	return nil
}
