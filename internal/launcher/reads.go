package launcher

import (
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/estimator"
	"github.com/oriolegw/oriolegw/internal/exchanger"
)

const (
	// minReadRate is the rate of reads per second from which a group's proof is renewed
	// regularly. Below it, a read from the primary costs the group no more than a proof.
	minReadRate = 2.0
	// recentReadRate is the rate from which a group counts as read recently.
	recentReadRate = 0.1
	// maxReportedGroups bounds the groups in a request to a peer.
	maxReportedGroups = 256
)

// readRates estimates the reads of each group. The zero value is ready to use.
type readRates struct {
	// own counts the reads of this instance's callers, all includes those that peers reported.
	own, all estimator.Rates

	mutex sync.Mutex
	// unreported counts the own reads since the last report to a peer.
	unreported map[string]int
	decayedAt  time.Time
}

// record records a read of this instance's callers.
func (r *readRates) record(group string) {
	r.own.Add(group, 1)
	r.all.Add(group, 1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.unreported == nil {
		r.unreported = map[string]int{}
	}
	r.unreported[group]++
}

// recordPeerReads records reads of a peer's callers. It ignores unknown groups, so that a peer can't
// make this instance allocate state for arbitrary names.
func (i *Instance) recordPeerReads(list []exchanger.GroupReads) {
	c := i.configuration.Load()
	if c == nil {
		return
	}
	for _, g := range list {
		if _, ok := c.Groups[g.Group]; ok && g.Count > 0 {
			i.reads.all.Add(g.Group, g.Count)
		}
	}
}

// decay reduces the rates for the time since the last call.
func (r *readRates) decay(now time.Time) {
	r.mutex.Lock()
	elapsed := now.Sub(r.decayedAt)
	r.decayedAt = now
	r.mutex.Unlock()
	r.own.Decay(elapsed)
	r.all.Decay(elapsed)
}

// take returns the groups read recently, with the reads since the last call.
func (r *readRates) take() []exchanger.GroupReads {
	recent := r.own.AtLeast(recentReadRate)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := make([]exchanger.GroupReads, 0, len(recent))
	for _, g := range recent[:min(len(recent), maxReportedGroups)] {
		list = append(list, exchanger.GroupReads{Group: g, Count: r.unreported[g]})
	}
	clear(r.unreported)
	return list
}

// takeReads returns the groups whose proofs this instance wants from a peer. all is set if it
// wants those of every group, since there are few.
func (i *Instance) takeReads() (groups []exchanger.GroupReads, all bool) {
	if preparesAll(i.configuration.Load()) {
		return nil, true
	}
	return i.reads.take(), false
}

// needsProofs reports whether callers of this instance read a group so often that a peer's proofs
// serve their reads.
func (i *Instance) needsProofs() bool {
	return preparesAll(i.configuration.Load()) || len(i.reads.own.AtLeast(minReadRate/2)) > 0
}

// wantedProofs returns a function that reports whether a group's freshness proof is to be renewed
// regularly. If there are more groups than an instance prepares, those with few reads are left out:
// their reads go to the primary, and each makes a proof. Groups that peers read often are added.
func (i *Instance) wantedProofs() func(b *backend) bool {
	expected := i.expectsPeerProofs()
	c := i.configuration.Load()
	if preparesAll(c) {
		return func(*backend) bool { return !expected }
	}
	for _, g := range i.reads.all.AtLeast(minReadRate) {
		if c == nil {
			break
		}
		if _, ok := c.Groups[g]; ok {
			i.backend(g)
		}
	}
	return func(b *backend) bool {
		rate := i.reads.all.Rate(b.Group.Name)
		return !expected && (rate >= minReadRate || rate >= recentReadRate && b.Group.Primary() == "")
	}
}
