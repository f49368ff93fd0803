package runner

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/prober"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/router"
)

// sessions is what the callers of an instance share.
type sessions struct {
	post      func(controller.Event)
	explainer router.Explainer
	prober    prober.Prober
}

// Explainer tells where the newest requests went, and why.
func (i *Instance) Explainer() *router.Explainer { return &i.sessions.explainer }

// open prepares what callers share, before the first of them.
func (s *sessions) open(i *Instance, post func(controller.Event)) {
	s.post = post
	s.prober.Network, s.prober.Application = i.Network, i.Settings.Name
}

// equip gives a caller's session what it needs beside its own state.
func (i *Instance) equip(s *relayer.Session, parameters map[string]string) {
	s.Connected = time.Now()
	s.HasToken = parameters[relayer.ParameterToken] != ""
	s.Explainer, s.Prober = &i.sessions.explainer, &i.sessions.prober
	s.Want = func(service string) { i.sessions.post(router.Wanted{Service: service}) }
}
