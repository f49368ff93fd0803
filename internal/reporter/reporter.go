// Package reporter shows an instance from outside: its HTTP pages (health,
// readiness, status, recent decisions, metrics) and the metrics behind them.
package reporter

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/router"
)

// Pages serves the pages of an instance. Set the exported fields, then call Run.
type Pages struct {
	// Address is where to serve, "ip:port"; empty serves nothing.
	Address string
	Network networker.Network
	// State returns what the instance shows of itself.
	State func() State
	// Recent returns the last decisions, newest first; nil shows none.
	Recent func() []router.Decision
	// Register has the metrics; nil shows none.
	Register *Register
	// Drain makes the instance leave; nil refuses.
	Drain func()
}

// The paths of the pages.
const (
	PathHealth    = "/health"
	PathReady     = "/ready"
	PathStatus    = "/status"
	PathDecisions = "/decisions"
	PathMetrics   = "/metrics"
	PathDrain     = "/drain"

	// headerTimeout ends connections that send nothing, so that they can't
	// pile up.
	headerTimeout = 5 * time.Second

	typeJSON = "application/json"
	typeText = "text/plain; charset=utf-8"
)

// Run serves until the context ends.
func (p *Pages) Run(ctx context.Context) error {
	if p.Address == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	return networker.ServeHTTP(ctx, p.Network, p.Address, &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout})
}

// Handler returns the pages.
func (p *Pages) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { write(w, typeText, []byte("ok\n")) })
	mux.HandleFunc("GET "+PathReady, p.handleReady)
	mux.HandleFunc("GET "+PathStatus, p.handleStatus)
	mux.HandleFunc("GET "+PathDecisions, p.handleDecisions)
	mux.HandleFunc("GET "+PathMetrics, p.handleMetrics)
	mux.HandleFunc("POST "+PathDrain, p.handleDrain)
	return mux
}

func write(w http.ResponseWriter, kind string, body []byte) {
	w.Header().Set("Content-Type", kind)
	_, _ = w.Write(body)
}

// handleReady answers 200 once a configuration is in force and every group has
// a primary, and 503 from the moment the instance is leaving.
func (p *Pages) handleReady(w http.ResponseWriter, _ *http.Request) {
	if l := p.State().Lacking(); l != "" {
		http.Error(w, l, http.StatusServiceUnavailable)
		return
	}
	write(w, typeText, []byte("ready\n"))
}

// handleStatus answers in JSON, or as text to ?format=text.
func (p *Pages) handleStatus(w http.ResponseWriter, r *http.Request) {
	s := p.State()
	if r.URL.Query().Get("format") == "text" {
		write(w, typeText, []byte(s.Text()))
		return
	}
	write(w, typeJSON, s.Encode())
}

func (p *Pages) handleDecisions(w http.ResponseWriter, _ *http.Request) {
	var list []router.Decision
	if p.Recent != nil {
		list = p.Recent()
	}
	write(w, typeJSON, EncodeDecisions(list))
}

func (p *Pages) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	if p.Register == nil {
		http.Error(w, "no metrics are kept", http.StatusNotFound)
		return
	}
	write(w, "text/plain; version=0.0.4", p.Register.Page())
}

func (p *Pages) handleDrain(w http.ResponseWriter, _ *http.Request) {
	if p.Drain == nil {
		http.Error(w, "this instance can't be drained", http.StatusNotImplemented)
		return
	}
	p.Drain()
	w.WriteHeader(http.StatusAccepted)
	_, _ = w.Write([]byte("leaving\n"))
}
