// Package reporter serves the administrative HTTP pages of an instance (health,
// readiness, status, recent routing decisions, metrics, drain) and collects its metrics.
package reporter

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/router"
)

// Pages serves the administrative HTTP pages of an instance. Set the exported
// fields, then call Run.
type Pages struct {
	// Address is the listen address, "ip:port". If empty, nothing is served.
	Address string
	Network networker.Network
	// State returns the current state of the instance.
	State func() State
	// RecentDecisions returns the latest routing decisions, newest first. It may be nil.
	RecentDecisions func() []router.Decision
	// Registry has the metrics. It may be nil.
	Registry *Registry
	// Drain starts a graceful shutdown of the instance. If nil, requests for it are refused.
	Drain func()
}

// Paths of the pages.
const (
	PathHealth    = "/health"
	PathReady     = "/ready"
	PathStatus    = "/status"
	PathDecisions = "/decisions"
	PathMetrics   = "/metrics"
	PathDrain     = "/drain"

	// headerTimeout closes connections that send no request.
	headerTimeout = 5 * time.Second

	contentTypeJSON = "application/json"
	contentTypeText = "text/plain; charset=utf-8"
)

// Run serves the pages until the context is done.
func (p *Pages) Run(ctx context.Context) error {
	if p.Address == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	return networker.ServeHTTP(ctx, p.Network, p.Address, &http.Server{Handler: p.Handler(), ReadHeaderTimeout: headerTimeout})
}

// Handler returns the handler of all pages.
func (p *Pages) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { writeBody(w, contentTypeText, []byte("ok\n")) })
	mux.HandleFunc("GET "+PathReady, p.handleReady)
	mux.HandleFunc("GET "+PathStatus, p.handleStatus)
	mux.HandleFunc("GET "+PathDecisions, p.handleDecisions)
	mux.HandleFunc("GET "+PathMetrics, p.handleMetrics)
	mux.HandleFunc("POST "+PathDrain, p.handleDrain)
	return mux
}

func writeBody(w http.ResponseWriter, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body)
}

// handleReady responds with 200 if a configuration is in force and every group has
// a primary, and with 503 otherwise or while the instance is leaving.
func (p *Pages) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason := p.State().NotReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	writeBody(w, contentTypeText, []byte("ready\n"))
}

// handleStatus responds with JSON, or with text to ?format=text.
func (p *Pages) handleStatus(w http.ResponseWriter, r *http.Request) {
	s := p.State()
	if r.URL.Query().Get("format") == "text" {
		writeBody(w, contentTypeText, []byte(s.Text()))
		return
	}
	writeBody(w, contentTypeJSON, s.Encode())
}

func (p *Pages) handleDecisions(w http.ResponseWriter, _ *http.Request) {
	var list []router.Decision
	if p.RecentDecisions != nil {
		list = p.RecentDecisions()
	}
	writeBody(w, contentTypeJSON, EncodeDecisions(list))
}

func (p *Pages) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	if p.Registry == nil {
		http.Error(w, "metrics are not collected", http.StatusNotFound)
		return
	}
	writeBody(w, "text/plain; version=0.0.4", p.Registry.Render())
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
