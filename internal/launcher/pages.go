package launcher

import (
	"context"
	"fmt"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/oriolegw/oriolegw/internal/networker"
)

func (i *Instance) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reason := i.notReadyReason(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (i *Instance) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_, _ = w.Write(i.metricsRegistry.Render())
	})
}

// metricsMux serves the pages of customers and limits at their paths and the metrics at all others.
func (i *Instance) metricsMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", i.metricsHandler())
	mux.HandleFunc("GET "+accountant.PathCustomers, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(accountant.EncodeStates(i.customerStates()))
	})
	mux.HandleFunc("GET "+accountant.PathLimits, func(w http.ResponseWriter, r *http.Request) {
		page, customer := i.limitsPage(), r.URL.Query().Get(accountant.ParameterCustomer)
		if customer != "" && !page.Select(customer) {
			http.Error(w, fmt.Sprintf(accountant.UnknownCustomer+" %q in configuration version %d", customer, i.configurationVersion()), http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(accountant.EncodeLimits(page))
	})
	return mux
}

func (i *Instance) serveHTTP(ctx context.Context, address string, h http.Handler) error {
	err := networker.ServeHTTP(ctx, i.Network, address, &http.Server{Handler: h})
	return errors.Wrap(err, address)
}
