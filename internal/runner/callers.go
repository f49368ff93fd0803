package runner

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/acceptor"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/reporter"
)

// statusPages returns the HTTP status pages, and registers the gauges that they show.
func (i *Instance) statusPages(ctx context.Context, control *controller.Controller, clients *acceptor.Acceptor) *reporter.Pages {
	if i.Registry != nil {
		tags := map[string]string{reporter.TagInstance: i.Settings.Name}
		i.Registry.AddGaugeFunc(reporter.GaugeCallers, tags, func() float64 { return float64(clients.Callers()) })
		i.Registry.AddGaugeFunc(reporter.GaugeVersion, tags, func() float64 { return float64(i.statusState().Version) })
	}
	return &reporter.Pages{
		Address: i.Settings.StatusAddress, Network: i.Network, State: i.statusState, RecentDecisions: i.sessions.explainer.Recent, Registry: i.Registry,
		Drain: func() { control.Post(ctx, drainer.InstanceLeaving{}) },
	}
}

// statusState returns the state that the status pages show.
func (i *Instance) statusState() reporter.State {
	state := reporter.State{Instance: i.Settings.Name, Zone: i.Settings.Zone, Leaving: i.drain.leaving.Load()}
	if table := i.table.Load(); table != nil {
		state.Version, state.Groups = table.Version, reporter.GroupStates(table, time.Now())
	}
	for k := range state.Groups {
		if entry := i.group(state.Groups[k].Service); entry != nil {
			use := entry.pool.Usage()
			state.Groups[k].Connections, state.Groups[k].MaxConnections = use.Held, use.Share.Connections
		}
	}
	return state
}

// newAcceptor returns the acceptor of client connections.
func (i *Instance) newAcceptor() (*acceptor.Acceptor, error) {
	g := &acceptor.Acceptor{
		Address: i.Settings.Callers, Network: i.Network, Log: i.Log, Open: i.openSession, Cancel: i.cancelRequest,
		Authentication: i.Settings.Authentication, EncryptionMode: i.Settings.Encryption.Mode,
		Verifier: i.passwordVerifier, Limits: i.Settings.Limits,
		Count: func(n string) { i.Metrics.Counter(n).Inc(1) },
	}
	if g.EncryptionMode == loader.EncryptionOff || g.EncryptionMode == "" {
		return g, nil
	}
	certificate, err := tls.LoadX509KeyPair(i.Settings.Encryption.Certificate, i.Settings.Encryption.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load the TLS certificate for clients")
	}
	g.TLS = &tls.Config{GetCertificate: acceptor.Certificate(certificate), MinVersion: tls.VersionTLS12}
	return g, nil
}

// passwordVerifier returns the stored verifier of a user's password; empty without a configuration.
func (i *Instance) passwordVerifier(user string) string {
	table := i.table.Load()
	if table == nil {
		return ""
	}
	return table.Document.Verifier(user)
}
