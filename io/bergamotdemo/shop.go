package bergamotdemo

import (
	"context"
	"crypto/ed25519"
	_ "embed" // the bundle of the demo
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

// Key is the bearer key of the demo's workspace.
const Key = "demo-kitchen-key"

//go:embed bundle.ini
var bundleText string

// engineSpec is one fake runner of the demo.
type engineSpec struct {
	name   string
	centre string
	from   int
	to     int
}

// engines hold overlapping ranges, as donated hardware of mixed size does; every layer is held at least twice.
var engines = []engineSpec{
	{"tallinn-1", "tallinn", 0, 4},
	{"tallinn-2", "tallinn", 4, 12},
	{"tartu-1", "tartu", 0, 6},
	{"tartu-2", "tartu", 6, 12},
	{"narva-1", "narva", 3, 9},
	{"narva-2", "narva", 8, 12},
}

const stepTime = 500 * time.Microsecond

// Shop is the fakes and the entries of the demo.
type Shop struct {
	Log io.Writer

	public   string // key of the operator in base64
	platform *bergamotfake.Platform
	engines  []*bergamotfake.Engine
	service  *bergamotfake.Service
	entries  []*bergamotentry.Entry
	cancel   context.CancelFunc
	done     chan error
}

// Start runs the fakes, rolls the bundle out and runs two entries.
func (s *Shop) Start(ctx context.Context) (err error) {
	defer func() { err = oops.In("demo").Wrapf(err, "start") }()
	if err = s.startTargets(); err != nil {
		return err
	}
	if err = s.rollOut(ctx); err != nil {
		return err
	}
	return s.startEntries(ctx)
}

func (s *Shop) startTargets() (err error) {
	s.platform = bergamotfake.NewPlatform()
	if err = s.platform.Start("127.0.0.1:0"); err != nil {
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
		s.engines = append(s.engines, e)
		s.list(spec.name, spec.centre, "runner", e.Address(), spec.to-spec.from)
	}
	s.service = bergamotfake.NewService()
	if err = s.service.Start("127.0.0.1:0"); err != nil {
		return err
	}
	s.list("pickup-1", "tallinn", "pickup", s.service.Address(), 0)
	return nil
}

func (s *Shop) list(name, centre, role, address string, memory int) {
	s.platform.Instances.Put(bergamotlist.InstanceMessage{
		Name: name, Address: address, Centre: centre, Kind: "cpu", Role: role, MaxLayers: memory, State: "live",
	})
}

func (s *Shop) rollOut(ctx context.Context) (err error) {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	s.public = base64.StdEncoding.EncodeToString(public)
	objects := bergamotobject.NewClient(s.platform.Address())
	defer objects.Close()
	table := bergamottable.NewClient(s.platform.Address())
	defer table.Close()
	r := &bergamotrollout.Rollout{
		Table: table, Objects: objects, Clock: bergamotclock.Real{},
		Trust: bergamotbundle.NewAuthority(1, bergamotbundle.NewOperator("mari", public)),
	}
	b, err := r.Propose(ctx, "bundle.ini", []byte(strings.ReplaceAll(bundleText, "PUBLICKEY", s.public)))
	if err != nil {
		return err
	}
	if _, err = r.Approve(ctx, b.Digest(), "mari", private); err != nil {
		return err
	}
	_, err = r.Roll(ctx, b.Digest(), "mari")
	return err
}

func (s *Shop) startEntries(ctx context.Context) (err error) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.done = make(chan error, 2)
	for n, centre := range []string{"tallinn", "tartu"} {
		setting, err := bergamotsetting.Parse("demo", []byte(s.settings(n+1, centre)))
		if err != nil {
			return err
		}
		e := &bergamotentry.Entry{Setting: setting, Log: s.Log}
		if err = e.Init(); err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		go func() { s.done <- e.Run(ctx) }()
	}
	return s.awaitReady(ctx)
}

func (s *Shop) settings(n int, centre string) string {
	return bergamotfake.EntrySettings(fmt.Sprint("entry", n), centre, s.platform.Address(),
		"probe = 200ms\nhead = 200ms\npoll = 200ms", "mari:"+s.public)
}

// awaitReady waits until every entry knows the bundle and the layers that each runner holds.
func (s *Shop) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		if s.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("entries did not become ready")
		case <-tick.C:
		}
	}
}

func (s *Shop) ready() bool {
	for _, e := range s.entries {
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

// Entries returns the entries.
func (s *Shop) Entries() []*bergamotentry.Entry { return s.entries }

// Service returns the fake pickup service.
func (s *Shop) Service() *bergamotfake.Service { return s.service }

// Close drains the entries and ends the fakes.
func (s *Shop) Close() (err error) {
	if s.cancel != nil {
		s.cancel()
	}
	for range s.entries {
		err = errors.Join(err, <-s.done)
	}
	for _, e := range s.engines {
		e.Kill()
	}
	if s.service != nil {
		s.service.Kill()
	}
	if s.platform != nil {
		s.platform.Kill()
	}
	return err
}
