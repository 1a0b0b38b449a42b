package bergamotentry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/thejerf/suture/v4"

	"bergamotspur/core/bergamotclaim"
	"bergamotspur/core/bergamotclock"
	"bergamotspur/core/bergamotcontrol"
	"bergamotspur/core/bergamotfilter"
	"bergamotspur/core/bergamotlease"
	"bergamotspur/core/bergamotplacement"
	"bergamotspur/core/bergamotretry"
	"bergamotspur/core/bergamotsession"
	"bergamotspur/core/bergamotsetting"
	"bergamotspur/core/bergamotsuspect"
	"bergamotspur/io/bergamotfront"
	"bergamotspur/io/bergamotlog"
	"bergamotspur/io/bergamotmetric"
)

// Entry is one process between callers and targets.
type Entry struct {
	Setting *bergamotsetting.Settings
	Log     io.Writer

	clock     bergamotclock.Real
	log       *bergamotlog.Logger
	metrics   *bergamotmetric.Registry
	loop      *bergamotcontrol.Loop
	drain     *bergamotfilter.Drain
	versions  *bergamotplacement.Versions
	suspects  *bergamotsuspect.Ledger
	session   *bergamotsession.Session
	adapters  *adapters
	peers     *peers
	lease     *bergamotlease.Lease
	times     leaseTimes
	retries   *bergamotretry.Retries
	claims    *bergamotclaim.Claims
	load      *load
	callers   net.Listener
	operators net.Listener
}

// Init opens the listeners, so that their addresses are known before Run.
func (e *Entry) Init() (err error) {
	defer func() { err = oops.In("entry").Wrapf(err, "init") }()
	e.log = bergamotlog.New(e.Log, e.Setting.Name(), "entry")
	e.metrics = bergamotmetric.NewRegistry(counterNames()...)
	e.adapters = newAdapters(e.Setting)
	e.retries = e.newRetries()
	e.claims = e.newClaims()
	e.suspects = bergamotsuspect.NewLedger(e.clock)
	if e.peers, err = e.newPeers(); err != nil {
		return err
	}
	e.load = e.newLoad()
	e.loop = e.newLoop()
	e.loop.Init()
	e.drain = bergamotfilter.NewDrain()
	e.versions = &bergamotplacement.Versions{Clock: e.clock, Age: versionAge}
	e.session = e.newSession()
	if e.callers, err = net.Listen("tcp", e.Setting.CallerAddress()); err != nil {
		return e.peers.abandon(err)
	}
	if e.operators, err = net.Listen("tcp", e.Setting.OperatorAddress()); err != nil {
		return e.peers.abandon(errors.Join(err, e.callers.Close()))
	}
	return nil
}

// Callers returns the address for callers.
func (e *Entry) Callers() string { return e.callers.Addr().String() }

// Operators returns the address for operators.
func (e *Entry) Operators() string { return e.operators.Addr().String() }

// Metrics returns the counters.
func (e *Entry) Metrics() *bergamotmetric.Registry { return e.metrics }

// View returns the current control state.
func (e *Entry) View() *bergamotcontrol.View { return e.loop.View() }

// Suspects returns the records of requests that make targets fail, which entries exchange.
func (e *Entry) Suspects() *bergamotsuspect.Ledger { return e.suspects }

// Run serves until ctx ends, then refuses new requests and waits for those in flight.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("entry").Wrapf(err, "run") }()
	defer e.adapters.close()
	defer e.peers.close()
	defer e.session.Wait()
	front := &bergamotfront.Server{Chain: e.newChain(), Views: e.loop, Clock: e.clock, Entry: e.Setting.Name()}
	root := suture.New(e.Setting.Name(), suture.Spec{EventHook: e.hook, Timeout: 5 * time.Second})
	root.Add(&service{name: "control", run: e.loop.Run})
	root.Add(&service{name: "claims", run: e.claims.Run})
	root.Add(newHTTPService("callers", e.callers, front.Handler()))
	root.Add(newHTTPService("operators", e.operators, e.operatorHandler()))
	e.peers.serve(root)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := root.ServeBackground(serving)
	e.log.Info("serving callers on %s, operators on %s", e.Callers(), e.Operators())
	<-ctx.Done()
	e.awaitIdle()
	stop()
	err = <-done
	// The control loop has ended, so that no command can follow the release.
	e.releaseLease()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitIdle refuses new requests and waits for those in flight and for outcomes of calls that are not yet stored, at
// most for the drain time.
func (e *Entry) awaitIdle() {
	e.log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), e.Setting.DrainTimeout())
	defer cancel()
	select {
	case <-e.drain.Start():
		e.log.Info("drained")
	case <-ctx.Done():
		e.log.Warn("requests still in flight after %s", e.Setting.DrainTimeout())
	}
	if err := e.claims.Flush(ctx); err != nil {
		e.log.Error("outcomes of %d calls could not be stored", e.claims.Waiting())
	}
}

func (e *Entry) hook(event suture.Event) { e.log.Warn("%s", event) }

// ready tells whether the entry can serve: it knows that its bundle was current at some time since the process
// started, and it is not draining. It stays ready when the table is down later.
func (e *Entry) ready() bool {
	v := e.View()
	return v.Bundle() != nil && !v.Confirmed().IsZero() && !e.drain.Draining()
}

func (e *Entry) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready() {
			reason := "not ready: no bundle that the table confirmed"
			if e.drain.Draining() {
				reason = "not ready: shutting down"
			}
			writeText(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	mux.Handle("GET /metrics", e.metrics)
	mux.HandleFunc("GET /status", e.status)
	return mux
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.WriteHeader(code)
	// A prober that has gone away needs no answer.
	_, _ = io.WriteString(w, text+"\n")
}
