package balancer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"wasabideal/internal/balancer/reducer"
	"wasabideal/internal/metric/text"
	"wasabideal/internal/model/upstream"
	"wasabideal/internal/upstream/registry"
	"wasabideal/internal/wire/rpc"
)

// RPC methods for operators.
const (
	StatusMethod = "Balancer.Status"
	DrainMethod  = "Balancer.Drain"
)

const (
	headerTimeout        = 5 * time.Second
	maxAnnouncementBytes = 4096
	metricPrefix         = "wasabideal"
)

type empty struct{}

func (b *Balancer) serveRPC() {
	s := rpc.NewServer(func(method string) { b.log.Warn("rejected call without valid token", "Method", method) })
	b.source.Serve(s, b.settings.GroupToken)
	b.memory.Serve(s, b.settings.GroupToken)
	rpc.Handle(s, StatusMethod, b.settings.OperatorToken, func(context.Context, empty) (reducer.Status, error) {
		return b.Status(), nil
	})
	rpc.Handle(s, DrainMethod, b.settings.OperatorToken, func(context.Context, empty) (empty, error) {
		b.requestStop()
		return empty{}, nil
	})
	if err := s.Serve(b.ctx, b.rpc); err != nil && b.ctx.Err() == nil {
		b.log.Error("RPC server stopped", "Error", err)
	}
}

func (b *Balancer) serveAdmin() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", b.announce)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", b.ready)
	mux.HandleFunc("GET /metrics", b.metrics)
	s := &http.Server{
		Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: headerTimeout,
		ErrorLog: b.log.StandardLogger(nil),
	}
	go func() {
		<-b.ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(b.admin); !errors.Is(err, http.ErrServerClosed) && b.ctx.Err() == nil {
		b.log.Error("admin server stopped", "Error", err)
	}
}

// announcement is the JSON body of an upstream's announcement.
type announcement struct {
	Service     string
	Address     string
	Incarnation uint64
	Sequence    uint64
	Zone        string
	Door        string
	Slots       uint16
	State       string
}

func (b *Balancer) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		http.Error(w, "announcement cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	u, err := a.upstream()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if err := b.Announce(u, token); err != nil {
		b.rejectAnnouncement(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (b *Balancer) rejectAnnouncement(w http.ResponseWriter, err error) {
	status := http.StatusConflict
	var refused *registry.RefusedError
	if errors.As(err, &refused) {
		switch refused.Reason {
		case registry.ReasonToken:
			status = http.StatusForbidden
		case registry.ReasonAddress:
			status = http.StatusBadRequest
		case registry.ReasonService:
			status = http.StatusNotFound
		}
	}
	b.logLimiter.log(b.settings.Clock(), b.log, "announcement rejected", err)
	http.Error(w, err.Error(), status)
}

// StateError reports that an announcement's state is unknown.
type StateError struct{ State string }

func (e *StateError) Error() string {
	return fmt.Sprintf("State is %q; allowed: Ready, Draining, Withdrawn", e.State)
}

func (a announcement) upstream() (upstream.Upstream, error) {
	u := upstream.Upstream{Zone: a.Zone, Door: a.Door, Slots: a.Slots, Sequence: a.Sequence}
	u.Service, u.Incarnation = a.Service, a.Incarnation
	if err := u.Address.UnmarshalText([]byte(a.Address)); err != nil {
		return u, fmt.Errorf("parse Address: %w", err)
	}
	for _, s := range []upstream.State{upstream.Ready, upstream.Draining, upstream.Withdrawn} {
		if s.String() == a.State {
			u.State = s
			return u, nil
		}
	}
	return u, &StateError{State: a.State}
}

// ready serves the readiness check, which fails until a configuration is in force, and
// during a planned stop.
func (b *Balancer) ready(w http.ResponseWriter, _ *http.Request) {
	s := b.Status()
	if s.Revision == 0 || s.Leaving {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func (b *Balancer) metrics(w http.ResponseWriter, _ *http.Request) {
	s := b.Status()
	r := metrics.NewRegistry()
	set := func(name string, v uint64) { metrics.GetOrRegisterGauge(name, r).Update(int64(v)) }
	set("Revision", s.Revision)
	set("RevisionAgeSeconds", uint64(s.RevisionAge.Seconds()))
	set("Flows", uint64(s.Flows))
	set("Openings", uint64(s.Openings))
	set("Members", uint64(len(s.Members)))
	set("Isolated", boolGauge(s.Isolated))
	set("HitsTotal", s.Router.Hits)
	set("RelaysTotal", s.Router.Relays)
	set("OpeningsTotal", s.Router.Openings)
	set("LostTotal", s.Router.Lost)
	set("DroppedTotal", s.Router.Dropped)
	set("MalformedTotal", s.Router.Malformed+s.Refused)
	set("UnknownServiceTotal", s.Router.UnknownService)
	set("NoUpstreamTotal", s.Router.NoUpstream)
	set("TableFullTotal", s.Router.TableFull)
	set("ForeignTotal", s.Router.Foreign)
	set("MisdeliveredTotal", s.Router.Misdelivered)
	set("RepairBytesTotal", s.Router.RepairBytes)
	set("RequestKeys", uint64(b.memory.Len()))
	b.setRequestMetrics(set)
	set("ControlBytesTotal", s.Swim.SentBytes+s.Router.RepairBytes)
	if err := text.New(r, metricPrefix).Print(w); err != nil {
		b.log.Debug("failed to write metrics", "Error", err)
	}
}

func boolGauge(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}
