package elector

import (
	"context"
	"time"

	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

// This file reaches a primary that doesn't respond to the supervisor's own connection through the
// instance's connection pool, which uses connections that are open already and those of other
// instances. Such a primary may still acknowledge commits, so it is demoted before it is replaced.

const (
	// pooledTimeout bounds a command through the pool. It is no longer than a poll of a member that
	// doesn't respond.
	pooledTimeout = 300 * time.Millisecond
	// pooledStatusMaxAge is how long a status received through the pool is used. It is requested in
	// each round while the primary doesn't respond.
	pooledStatusMaxAge = time.Second
)

// sendPooled sends a command to a member through the pool.
func (sv *Supervisor) sendPooled(ctx context.Context, m *memberState, c messenger.Command) (messenger.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, pooledTimeout)
	defer cancel()
	r, err := sv.SendPooled(ctx, m.ID, c)
	if err != nil {
		return messenger.Status{}, err
	}
	if r.Code == messenger.CodeBusy {
		return messenger.Status{}, errBusy
	}
	return sv.Codec.Status(r)
}

// pollPooled starts to request the primary's status through the pool if it hasn't responded otherwise,
// and returns a function that waits for the response and applies it. A primary that refuses this
// instance's connections may accept those of others.
func (sv *Supervisor) pollPooled(ctx context.Context) (apply func()) {
	p := sv.members[sv.primary]
	if sv.SendPooled == nil || p == nil || p.FailedSince == 0 {
		return func() {}
	}
	type result struct {
		status messenger.Status
		err    error
	}
	responses := make(chan result, 1)
	go func() {
		s, err := sv.sendPooled(ctx, p, messenger.Command{Kind: messenger.KindStatus})
		responses <- result{s, err}
	}()
	return func() {
		r := <-responses
		if r.err != nil {
			p.pooledAt = 0
			return
		}
		if p.pooledAt == 0 {
			sv.Log("event", "primary-reached-through-pool", "group", sv.Group.Name, "primary", p.ID, "leads", r.status.Primary, "position", r.status.Received)
		}
		p.pooledStatus, p.pooledAt = r.status, sv.Clock()
	}
}

// leads reports whether a member has responded as the primary, and whether only through the pool.
func (sv *Supervisor) leads(m *memberState) (leads, pooledOnly bool) {
	switch {
	case m == nil:
		return false, false
	case m.Answered:
		return m.Status.Primary, false
	}
	fresh := m.pooledAt != 0 && sv.Clock()-m.pooledAt < pooledStatusMaxAge
	return fresh && m.pooledStatus.Primary, true
}

// selectFurthestAfterDemotion picks the member with the furthest log after a primary that is reached
// through the pool only was demoted, and no member has reached its log. The demoted primary
// acknowledges nothing more, so once all that may have acknowledged its commits are registered, one of
// them holds these.
func (sv *Supervisor) selectFurthestAfterDemotion(ctx context.Context, c *primaryChange) error {
	if err := sleeper.Sleep(ctx, tracker.RegistrationDelay-(sv.Clock()-c.demotedAt)); err != nil {
		return err
	}
	if !sv.Holds(minRemainingLease) {
		return errNotOwner
	}
	if err := sv.checkReplicas(c.replicas); err != nil {
		return err
	}
	return sv.selectFurthest(ctx, c)
}
