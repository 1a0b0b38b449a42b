package bergamotdemo

import (
	"context"
	"crypto/ed25519"
	_ "embed" // for bundle.ini
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/oops"

	"bergamotspur/core/bergamotbundle"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotrollout"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/io/bergamotengine"
	"bergamotspur/io/bergamotentry"
	"bergamotspur/io/bergamotfake"
	"bergamotspur/io/bergamotlist"
	"bergamotspur/io/bergamotobject"
	"bergamotspur/io/bergamottable"
)

// APIKey is the API key of the demo's workspace.
const APIKey = "demo-kitchen-key"

//go:embed bundle.ini
var bundleText string

// engineSpec describes a fake runner: its name, its data centre and its range of layers.
type engineSpec struct {
	name   string
	centre string
	from   int
	to     int
}

// engines hold overlapping ranges, as mixed donated hardware does; every layer is held by at least two of them.
var engines = []engineSpec{
	{"tallinn-1", "tallinn", 0, 4},
	{"tallinn-2", "tallinn", 4, 12},
	{"tartu-1", "tartu", 0, 6},
	{"tartu-2", "tartu", 6, 12},
	{"narva-1", "narva", 3, 9},
	{"narva-2", "narva", 8, 12},
}

const stepTime = 500 * time.Microsecond

// A Demo runs the fakes and the entries of the demo.
type Demo struct {
	Log io.Writer

	public   string // public key of the operator in base64
	platform *bergamotfake.Platform
	engines  []*bergamotfake.Engine
	service  *bergamotfake.Service
	entries  []*bergamotentry.Entry
	cancel   context.CancelFunc
	done     chan error
}

// Start starts the fakes, rolls out the bundle, starts two entries and waits until they are ready.
func (d *Demo) Start(ctx context.Context) (err error) {
	defer func() { err = oops.In("demo").Wrapf(err, "start") }()
	if err = d.startTargets(); err != nil {
		return err
	}
	if err = d.rollOut(ctx); err != nil {
		return err
	}
	return d.startEntries(ctx)
}

// startTargets starts the platform, the engines and the pickup service, and lists the targets on the platform.
func (d *Demo) startTargets() (err error) {
	d.platform = bergamotfake.NewPlatform()
	if err = d.platform.Start("127.0.0.1:0"); err != nil {
		return err
	}
	for _, spec := range engines {
		e := bergamotfake.NewEngine(bergamotengine.HoldingMessage{
			Model: "care", Version: "1", From: spec.from, To: spec.to, Adapters: []string{"quotes"},
		})
		e.StepTime = stepTime
		if err = e.Start("127.0.0.1:0"); err != nil {
			return err
		}
		d.engines = append(d.engines, e)
		d.addInstance(spec.name, spec.centre, "runner", e.Address(), spec.to-spec.from)
	}
	d.service = bergamotfake.NewService()
	if err = d.service.Start("127.0.0.1:0"); err != nil {
		return err
	}
	d.addInstance("pickup-1", "tallinn", "pickup", d.service.Address(), 0)
	return nil
}

// addInstance adds a target to the platform's instance list; memory is in layers.
func (d *Demo) addInstance(name, centre, role, address string, memory int) {
	d.platform.Instances.Put(bergamotlist.InstanceMessage{
		Name: name, Address: address, Centre: centre, Kind: "cpu", Role: role, MaxLayers: memory, State: "live",
	})
}

// rollOut proposes, approves and rolls out the bundle with the key of a new operator.
func (d *Demo) rollOut(ctx context.Context) (err error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	d.public = base64.StdEncoding.EncodeToString(public)
	objects := bergamotobject.NewClient(d.platform.Address())
	defer objects.Close()
	table := bergamottable.NewClient(d.platform.Address())
	defer table.Close()
	r := &bergamotrollout.Rollout{
		Table: table, Objects: objects, Clock: bergamotclock.Real{},
		Trust: bergamotbundle.NewAuthority(1, bergamotbundle.NewOperator("mari", public)),
	}
	b, err := r.Propose(ctx, "bundle.ini", []byte(strings.ReplaceAll(bundleText, "PUBLICKEY", d.public)))
	if err != nil {
		return err
	}
	if _, err = r.Approve(ctx, b.Digest(), "mari", private); err != nil {
		return err
	}
	_, err = r.Roll(ctx, b.Digest(), "mari")
	return err
}

func (d *Demo) startEntries(ctx context.Context) (err error) {
	ctx, d.cancel = context.WithCancel(ctx)
	d.done = make(chan error, 2)
	for n, centre := range []string{"tallinn", "tartu"} {
		setting, err := bergamotsetting.Parse("demo", []byte(d.settings(n+1, centre)))
		if err != nil {
			return err
		}
		e := &bergamotentry.Entry{Setting: setting, Log: d.Log}
		if err = e.Init(); err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		go func() { d.done <- e.Run(ctx) }()
	}
	return d.awaitReady(ctx)
}

func (d *Demo) settings(n int, centre string) string {
	return bergamotfake.EntrySettings(fmt.Sprint("entry", n), centre, d.platform.Address(),
		"probe = 200ms\nhead = 200ms\npoll = 200ms", "mari:"+d.public)
}

// awaitReady waits until every entry knows the bundle and the layers of each runner.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if d.isReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("entries did not become ready")
		case <-tick.C:
		}
	}
}

func (d *Demo) isReady() bool {
	for _, e := range d.entries {
		v := e.View()
		if v.Bundle() == nil {
			return false
		}
		for _, spec := range engines {
			i, ok := v.Fleet().Instance(spec.name)
			if !ok || len(i.Holdings()) == 0 {
				return false
			}
		}
	}
	return true
}

// Entries returns the entries of the demo.
func (d *Demo) Entries() []*bergamotentry.Entry { return d.entries }

// Service returns the fake pickup service.
func (d *Demo) Service() *bergamotfake.Service { return d.service }

// Close drains the entries, kills the fakes and returns the errors of the entries.
func (d *Demo) Close() (err error) {
	if d.cancel != nil {
		d.cancel()
	}
	for range d.entries {
		err = errors.Join(err, <-d.done)
	}
	for _, e := range d.engines {
		e.Kill()
	}
	if d.service != nil {
		d.service.Kill()
	}
	if d.platform != nil {
		d.platform.Kill()
	}
	return err
}
