package elector

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// This file finds the furthest log where the old primary's can't be read.

// gather sees to it that the candidate will hold every acknowledged commit: the other
// replicas are paused, those too that join meanwhile, and the candidate's log reaches
// theirs.
func (k *Keeper) gather(ctx context.Context, m *move) error {
	replicas := m.replicas
	others := replicas[1:]
	for range pauseRounds {
		if err := k.pause(ctx, others, m.term); err != nil {
			return err
		}
		joined := k.list()
		if err := restartedAmong(replicas); err != nil {
			return err
		}
		if len(joined) == 0 {
			return k.furthest(ctx, m, replicas)
		}
		replicas, others = append(replicas, joined...), joined
	}
	return errJoining
}

// restartedAmong returns an error if a member of a change has started again since the
// change began. Its log is no longer the one that was read: promoted for it, the member
// would lead without commits that callers were told of.
func restartedAmong(members []*link) error {
	for _, l := range members {
		if l.gone {
			return errors.Wrapf(errRestarted, "%s", l.ID)
		}
	}
	return nil
}

// pause stops members from receiving the log until the next term.
func (k *Keeper) pause(ctx context.Context, members []*link, next uint64) error {
	results := make([]error, len(members))
	var asked sync.WaitGroup
	for i, l := range members {
		asked.Go(func() { results[i] = k.pauseOne(ctx, l, next) })
	}
	asked.Wait()
	for _, err := range results {
		if err != nil {
			return err
		}
	}
	return nil
}

func (k *Keeper) pauseOne(ctx context.Context, l *link, next uint64) error {
	s, err := k.command(ctx, l, messenger.Command{Kind: messenger.KindPause, Term: next})
	if err != nil {
		return errors.Wrapf(err, "pause %s", l.ID)
	}
	l.noted(k.Clock(), s)
	k.Log("event", "paused", "group", k.Group.Name, "member", l.ID, "term", next, "position", s.Received, "paused-for", s.PausedFor)
	if s.PausedFor != next {
		return errors.Errorf("pause %s: it is paused for term %d, not %d", l.ID, s.PausedFor, next)
	}
	return nil
}

// furthest chooses the member to promote, once the replicas but the first are
// paused: the first, when its log reaches theirs. Otherwise the first is paused too,
// so that no log moves any more, and the one with the furthest log is taken.
func (k *Keeper) furthest(ctx context.Context, m *move, replicas []*link) error {
	first := replicas[0]
	m.to = first
	s, err := k.command(ctx, first, messenger.Command{Kind: messenger.KindStatus})
	if err != nil {
		return errors.Wrapf(err, "ask %s", first.ID)
	}
	first.noted(k.Clock(), s)
	var most orderer.Position
	for _, l := range replicas[1:] {
		most = orderer.Max(most, l.Status.Received)
	}
	if s.Received.AtLeast(most) {
		return nil
	}
	if err := k.pauseOne(ctx, first, m.term); err != nil {
		return err
	}
	for _, l := range replicas[1:] {
		if l.Status.Received.Compare(m.to.Status.Received) > 0 {
			m.to = l
		}
	}
	return nil
}
