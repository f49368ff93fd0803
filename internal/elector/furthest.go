package elector

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// This file finds the replica with the furthest log when no responsive primary can be caught
// up with.

// selectFurthest pauses the other replicas, including those that join meanwhile, and picks a
// candidate whose log holds all of theirs. It fails unless the registry can be read: a member that
// isn't known may hold the only copy of an acknowledged commit.
func (sv *Supervisor) selectFurthest(ctx context.Context, c *primaryChange) error {
	// Read before the first pause, since paused replicas keep a primary that only this instance can't
	// reach from acknowledging commits.
	if err := sv.readRegistry(ctx); err != nil {
		return errors.Wrap(err, "read registry")
	}
	c.replicas = append(c.replicas, sv.refreshMembers()...)
	others := c.replicas[1:]
	for range maxPauseRounds {
		// Read at the same time, so that the change takes no longer.
		var read sync.WaitGroup
		var readErr error
		read.Go(func() { readErr = sv.readRegistry(ctx) })
		err := sv.pauseAll(ctx, others, c.term)
		read.Wait()
		if err != nil {
			return err
		}
		if readErr != nil {
			return errors.Wrap(readErr, "read registry")
		}
		joined := sv.refreshMembers()
		if err := checkNotRestarted(c.replicas); err != nil {
			return err
		}
		if len(joined) == 0 {
			return sv.pickFurthest(ctx, c)
		}
		c.replicas, others = append(c.replicas, joined...), joined
	}
	return errMembersJoining
}

// readRegistry brings the registered members up to date with the store, since the watch may not
// have shown a replica that joined and has acknowledged commits.
func (sv *Supervisor) readRegistry(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	start := sv.Clock()
	err := sv.ReadRegistry(ctx)
	if err == nil {
		sv.registryConfirmedAt = start
	}
	sv.Log("event", "registry-read", "group", sv.Group.Name, "ms", (sv.Clock() - start).Milliseconds(), "outcome", outcomeText(err))
	return err
}

// checkNotRestarted returns an error if a member has restarted during the change: the log that
// was read may be gone, and acknowledged commits with it.
func checkNotRestarted(members []*memberState) error {
	for _, m := range members {
		if m.departed {
			return errors.Wrapf(errMemberRestarted, "%s", m.ID)
		}
	}
	return nil
}

// pauseAll stops members from receiving the log until the next term.
func (sv *Supervisor) pauseAll(ctx context.Context, members []*memberState, next uint64) error {
	results := make([]error, len(members))
	var requests sync.WaitGroup
	for i, m := range members {
		requests.Go(func() { results[i] = sv.pauseMember(ctx, m, next) })
	}
	requests.Wait()
	for _, err := range results {
		if err != nil {
			return err
		}
	}
	return nil
}

// pauseMember orders a member to stop receiving the log until the next term.
func (sv *Supervisor) pauseMember(ctx context.Context, m *memberState, next uint64) error {
	s, err := sv.command(ctx, m, messenger.Command{Kind: messenger.KindPause, Term: next})
	if err != nil {
		return errors.Wrapf(err, "pause %s", m.ID)
	}
	m.applyStatus(sv.Clock(), s)
	sv.Log("event", "paused", "group", sv.Group.Name, "member", m.ID, "term", next, "position", s.Received, "paused-for", s.PausedFor)
	if s.PausedFor != next {
		return errors.Errorf("pause %s: it is paused for term %d, not %d", m.ID, s.PausedFor, next)
	}
	return nil
}

// pickFurthest picks the first replica if its log reaches those of the others, which are
// paused. Otherwise it pauses the first as well and picks the one with the furthest log.
func (sv *Supervisor) pickFurthest(ctx context.Context, c *primaryChange) error {
	replicas := c.replicas
	first := replicas[0]
	c.candidate = first
	s, err := sv.command(ctx, first, messenger.Command{Kind: messenger.KindStatus})
	if err != nil {
		return errors.Wrapf(err, "poll %s", first.ID)
	}
	first.applyStatus(sv.Clock(), s)
	var furthest orderer.Position
	for _, m := range replicas[1:] {
		furthest = orderer.Max(furthest, m.Status.Received)
	}
	if s.Received.AtLeast(furthest) {
		return nil
	}
	if err := sv.pauseMember(ctx, first, c.term); err != nil {
		return err
	}
	for _, m := range replicas[1:] {
		if m.Status.Received.Compare(c.candidate.Status.Received) > 0 {
			c.candidate = m
		}
	}
	return nil
}
