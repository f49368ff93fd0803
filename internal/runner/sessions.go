package runner

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/canceller"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/prober"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// sessions is what the callers of an instance share.
type sessions struct {
	post      func(controller.Event)
	explainer router.Explainer
	prober    prober.Prober
	cancels   canceller.Table
}

// Explainer tells where the newest requests went, and why.
func (i *Instance) Explainer() *router.Explainer { return &i.sessions.explainer }

// open prepares what callers share, before the first of them.
func (s *sessions) open(i *Instance, post func(controller.Event)) {
	s.post = post
	s.prober.Network, s.prober.Application = i.Network, i.Settings.Name
	s.cancels.Tag = canceller.Tag(i.Settings.Name)
}

// equip gives a caller's session what it needs beside its own state.
func (i *Instance) equip(s *relayer.Session, parameters map[string]string) *refuser.Refusal {
	s.Settle(parameters)
	s.Connected = time.Now()
	s.HasToken = parameters[relayer.ParameterToken] != ""
	s.Leaver, s.Home = &i.drain.leaver, router.HomeOf(i.Settings.Name)
	s.Explainer, s.Prober = &i.sessions.explainer, &i.sessions.prober
	s.Want = func(service string) { i.sessions.post(router.Wanted{Service: service}) }
	k, err := i.sessions.cancels.Add(s)
	if err != nil {
		return refuser.New(refuser.TooManySessions, "%v", err)
	}
	s.Network, s.PID, s.Secret = i.Network, k.PID, k.Secret
	s.Ended = func() { i.sessions.cancels.Remove(k) }
	return nil
}

// Cancels is the table of the callers' keys. Set its Forwarder before Run, so
// that a cancel finds its request on any instance.
func (i *Instance) Cancels() *canceller.Table { return &i.sessions.cancels }

// cancel carries out a caller's cancel. The protocol has no answer to it.
func (i *Instance) cancel(ctx context.Context, pid, secret uint32) {
	if err := i.sessions.cancels.Cancel(ctx, canceller.Key{PID: pid, Secret: secret}); err != nil {
		i.Metrics.Counter("cancels.failed").Inc(1)
	}
}
