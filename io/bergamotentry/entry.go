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
	"golang.org/x/time/rate"

	"bergamotspur/core/bergamotaccount"
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
	"bergamotspur/io/bergamotlimit"
	"bergamotspur/io/bergamotlog"
	"bergamotspur/io/bergamotmetric"
)

// Entry is an instance of the router, which stands between callers and targets.
type Entry struct {
	Setting *bergamotsetting.Settings
	Log     io.Writer

	clock            bergamotclock.Real
	log              *bergamotlog.Logger
	metrics          *bergamotmetric.Registry
	account          *bergamotaccount.Account // memory for callers
	limitLines       *rate.Limiter            // of the log
	loop             *bergamotcontrol.Loop
	drain            *bergamotfilter.Drain
	versions         *bergamotplacement.Versions
	suspects         *bergamotsuspect.Ledger
	session          *bergamotsession.Session
	clients          *clients
	peers            *peers
	lease            *bergamotlease.Lease
	timing           placementTimes
	retries          *bergamotretry.Retries
	claims           *bergamotclaim.Claims
	trafficControl   *trafficControl
	callerListener   net.Listener
	operatorListener net.Listener
}

// Init builds the parts of the entry and opens its listeners, so that their addresses are known before Run.
func (e *Entry) Init() (err error) {
	defer func() { err = oops.In("entry").Wrapf(err, "init") }()
	e.log = bergamotlog.New(e.Log, e.Setting.Name(), "entry")
	e.metrics = bergamotmetric.NewRegistry(counterNames()...)
	e.limitLines = rate.NewLimiter(limitLines, limitLines)
	e.account = &bergamotaccount.Account{Max: accountBytes, Clock: e.clock, OnEvict: e.recordEviction}
	e.clients = newClients(e.Setting)
	e.retries = e.newRetries()
	e.claims = e.newClaims()
	e.suspects = bergamotsuspect.NewLedger(e.clock)
	if e.peers, err = e.newPeers(); err != nil {
		return err
	}
	e.trafficControl = e.newTrafficControl()
	e.loop = e.newLoop()
	e.loop.Init()
	e.drain = bergamotfilter.NewDrain()
	e.versions = &bergamotplacement.Versions{Clock: e.clock, MaxAge: maxVersionAge}
	e.session = e.newSession()
	if e.callerListener, err = bergamotlimit.Listen(e.Setting.CallerAddress()); err != nil {
		return e.peers.closeListener(err)
	}
	if e.operatorListener, err = net.Listen("tcp", e.Setting.OperatorAddress()); err != nil {
		return e.peers.closeListener(errors.Join(err, e.callerListener.Close()))
	}
	return nil
}

// CallerAddress returns the address on which the entry listens for callers.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// OperatorAddress returns the address on which the entry listens for operators.
func (e *Entry) OperatorAddress() string { return e.operatorListener.Addr().String() }

// Metrics returns the metrics of the entry.
func (e *Entry) Metrics() *bergamotmetric.Registry { return e.metrics }

// View returns the current control state.
func (e *Entry) View() *bergamotcontrol.View { return e.loop.View() }

// Suspects returns the records of requests suspected of making targets fail, which entries exchange.
func (e *Entry) Suspects() *bergamotsuspect.Ledger { return e.suspects }

// Run serves until ctx ends, then refuses new requests and waits for those in flight.
func (e *Entry) Run(ctx context.Context) (err error) {
	defer func() { err = oops.In("entry").Wrapf(err, "run") }()
	defer e.clients.close()
	defer e.peers.close()
	defer e.session.Wait()
	front := &bergamotfront.Server{Chain: e.newChain(), Views: e.loop, Clock: e.clock, Entry: e.Setting.Name(), Account: e.account}
	root := suture.New(e.Setting.Name(), suture.Spec{EventHook: e.logSupervisorEvent, Timeout: 5 * time.Second})
	root.Add(&component{name: "control", run: e.loop.Run})
	root.Add(&component{name: "claims", run: e.claims.Run})
	root.Add(newHTTPComponent("callers", e.limited(e.callerListener, callerConns), front.Handler()))
	root.Add(newHTTPComponent("operators", e.limited(e.operatorListener, operatorConns), e.withoutBodies(e.operatorHandler())))
	e.peers.addTo(root)
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := root.ServeBackground(serving)
	e.log.Info("serving callers on %s, operators on %s", e.CallerAddress(), e.OperatorAddress())
	<-ctx.Done()
	e.drainAndFlush()
	stop()
	err = <-done
	// The control loop has stopped, so that no order can follow the release of the lease.
	e.releaseLease()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// drainAndFlush refuses new requests, waits for those in flight and stores the pending outcomes of calls, within the
// drain time.
func (e *Entry) drainAndFlush() {
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
		e.log.Error("outcomes of %d calls could not be stored", e.claims.Pending())
	}
}

func (e *Entry) logSupervisorEvent(event suture.Event) { e.log.Warn("%s", event) }

// isReady reports whether the entry can serve: the table has confirmed its bundle since the process started, and it is
// not draining. A later outage of the table does not change this.
func (e *Entry) isReady() bool {
	v := e.View()
	return v.Bundle() != nil && !v.ConfirmedAt().IsZero() && !e.drain.IsDraining()
}

func (e *Entry) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			reason := "not ready: no bundle that the table confirmed"
			if e.drain.IsDraining() {
				reason = "not ready: shutting down"
			}
			writeText(w, http.StatusServiceUnavailable, reason)
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
	mux.Handle("GET /metrics", e.metrics)
	mux.HandleFunc("GET /status", e.serveStatus)
	return mux
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.WriteHeader(code)
	// A prober that closed the connection needs no answer.
	_, _ = io.WriteString(w, text+"\n")
}
