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

// sessions is the state shared by the client sessions of an instance.
type sessions struct {
	post      func(controller.Event)
	explainer router.DecisionLog
	prober    prober.Prober
	cancels   canceller.Table
}

// DecisionLog returns the record of recent routing decisions and their reasons.
func (i *Instance) DecisionLog() *router.DecisionLog { return &i.sessions.explainer }

// initialize must be called before the first session.
func (s *sessions) initialize(i *Instance, post func(controller.Event)) {
	s.post = post
	s.prober.Network, s.prober.Application = i.Network, i.Settings.Name
	s.cancels.Tag = canceller.Tag(i.Settings.Name)
}

// initSession sets the fields of a session that refer to the instance, and registers its
// cancel key.
func (i *Instance) initSession(s *relayer.Session, parameters map[string]string) *refuser.Refusal {
	s.ApplyStartupParameters(parameters)
	s.Connected = time.Now()
	s.HasToken = parameters[relayer.ParameterToken] != ""
	s.Drainer, s.PreferenceSeed = &i.drain.sessionDrainer, router.PreferenceSeed(i.Settings.Name)
	s.DecisionLog, s.Prober = &i.sessions.explainer, &i.sessions.prober
	s.RequestWatermark = func(service string) { i.sessions.post(router.WatermarkWanted{Service: service}) }
	key, err := i.sessions.cancels.Add(s)
	if err != nil {
		return refuser.New(refuser.TooManySessions, "%v", err)
	}
	s.Network, s.PID, s.Secret = i.Network, key.PID, key.Secret
	s.OnEnd = func() { i.sessions.cancels.Remove(key) }
	return nil
}

// CancelKeys returns the table of the clients' cancel keys.
func (i *Instance) CancelKeys() *canceller.Table { return &i.sessions.cancels }

// cancelRequest handles a client's cancel request, to which the protocol has no reply.
func (i *Instance) cancelRequest(ctx context.Context, pid, secret uint32) {
	if err := i.sessions.cancels.Cancel(ctx, canceller.Key{PID: pid, Secret: secret}); err != nil {
		i.Metrics.Counter("cancels.failed").Inc(1)
	}
}
