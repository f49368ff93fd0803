package runner

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/drainer"
	"github.com/oriolegw/oriolegw/internal/greeter"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/reporter"
)

// pages makes the HTTP pages of the instance.
func (i *Instance) pages(ctx context.Context, control *controller.Controller, callers *greeter.Greeter) *reporter.Pages {
	if i.Register != nil {
		tags := map[string]string{reporter.TagInstance: i.Settings.Name}
		i.Register.Watch(reporter.GaugeCallers, tags, func() float64 { return float64(callers.Callers()) })
		i.Register.Watch(reporter.GaugeVersion, tags, func() float64 { return float64(i.state().Version) })
	}
	return &reporter.Pages{
		Address: i.Settings.Status, Network: i.Network, State: i.state, Recent: i.sessions.explainer.Recent, Register: i.Register,
		Drain: func() { control.Post(ctx, drainer.InstanceLeaving{}) },
	}
}

// state is what the instance shows of itself.
func (i *Instance) state() reporter.State {
	s := reporter.State{Instance: i.Settings.Name, Zone: i.Settings.Zone, Leaving: i.drain.leaving.Load()}
	if t := i.table.Load(); t != nil {
		s.Version, s.Groups = t.Version, reporter.Describe(t, time.Now())
	}
	for k := range s.Groups {
		if v := i.group(s.Groups[k].Service); v != nil {
			u := v.pool.Usage()
			s.Groups[k].Connections, s.Groups[k].Share = u.Held, u.Share.Connections
		}
	}
	return s
}

// greeter makes what accepts callers.
func (i *Instance) greeter() (*greeter.Greeter, error) {
	g := &greeter.Greeter{
		Address: i.Settings.Callers, Network: i.Network, Log: i.Log, Open: i.open, Cancel: i.cancel,
		Authentication: i.Settings.Authentication, Mode: i.Settings.Encryption.Mode,
		Verifier: i.verifier, Limits: i.Settings.Limits,
		Count: func(n string) { i.Metrics.Counter(n).Inc(1) },
	}
	if g.Mode == loader.EncryptionOff || g.Mode == "" {
		return g, nil
	}
	pair, err := tls.LoadX509KeyPair(i.Settings.Encryption.Certificate, i.Settings.Encryption.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate for callers")
	}
	g.TLS = &tls.Config{GetCertificate: greeter.Certificate(pair), MinVersion: tls.VersionTLS12}
	return g, nil
}

// verifier returns what a user's password is checked against.
func (i *Instance) verifier(user string) string {
	t := i.table.Load()
	if t == nil {
		return ""
	}
	return t.Document.Verifier(user)
}
