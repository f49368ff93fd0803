package launcher

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolegw/oriolegw/internal/dispatcher"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// idleMaintenanceInterval is the interval of maintenance while no group has connections
	// or waiting requests, unusedMaintenanceInterval the one
	// while no group is in use, until one is.
	idleMaintenanceInterval   = 200 * time.Millisecond
	unusedMaintenanceInterval = time.Second
	proofCheckInterval        = 200 * time.Millisecond
	// proofRenewalAge is the age at which a freshness proof is renewed. It leaves most of the
	// routes' staleness bounds for replication lag.
	proofRenewalAge = 400 * time.Millisecond
	// replicaProofAge is the age of the newest proof at which replicas are queried as well.
	replicaProofAge = 1200 * time.Millisecond
	// relaxedProofRenewalAge replaces proofRenewalAge where the primary accepts fewer
	// connections than there are instances, since each renewal needs a connection, and
	// where a peer sends its proofs.
	relaxedProofRenewalAge = time.Second
	// peerProofTimeout is how long after a peer's proof the next one is expected.
	peerProofTimeout = 1500 * time.Millisecond
	// proofTimeout bounds a query to a member, and separately the wait for its connection.
	proofTimeout = 300 * time.Millisecond
	// primarySearchInterval is the interval of status queries while no primary is known.
	primarySearchInterval = 100 * time.Millisecond
	// primaryCheckInterval is the minimum pause after a check of a suspected primary.
	primaryCheckInterval = 150 * time.Millisecond
)

// backend is a group with its connection pool, and tracks its primary and freshness proofs.
type backend struct {
	dispatcher.Backend
	clock    func() tracker.Timestamp
	codec    messenger.MemberCodec
	log      func(fields ...any)
	suspects chan string
	// proofExpired wakes renewProofs, and primaryUnknown wakes detectPrimary.
	proofExpired, primaryUnknown chan struct{}
	// proofCheckedAt is when the proof's age was last checked, and primarySearchedAt when a
	// search for the primary was last requested; only maintain uses them.
	proofCheckedAt, primarySearchedAt time.Time
	// commitHolders returns the members whose logs may hold acknowledged commits, and whether
	// commits are acknowledged by a replica.
	commitHolders func() (ids []string, synchronous bool)
	// statusOf queries the status of a member, and reports whether it answered.
	statusOf func(ctx context.Context, id string) (messenger.Status, bool)
	// sendThroughPeers, when set, sends a command to a member through other instances.
	sendThroughPeers func(ctx context.Context, id string, c messenger.Command) (messenger.Reply, error)
	// registry reads the members' registrations; proofRefusals limits the log lines about proofs that
	// can't be made from the replicas.
	registry      *registryReader
	proofRefusals logLimit
	// lastPeerProof is when a peer last sent a proof newer than the known ones.
	lastPeerProof atomic.Int64
	// lastUsed is when the group was last used, and supervised is set while this instance
	// supervises it; both are guarded by Instance.mutex.
	lastUsed   tracker.Timestamp
	supervised bool
	// stop ends the group's tasks.
	stop context.CancelFunc
}

// run maintains the pool, the freshness proofs and the known primary until the context is
// canceled.
func (b *backend) run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = b.Pool.Run(ctx) })
	tasks.Go(func() { b.detectPrimary(ctx) })
	tasks.Go(func() { b.renewProofs(ctx) })
	tasks.Go(func() { _ = b.Leases.Run(ctx) })
	tasks.Wait()
}

// maintainBackends runs maintenance of all groups until the context is canceled. One loop
// serves all groups, since a ticker for each task of each group wakes idle instances often.
func (i *Instance) maintainBackends(ctx context.Context) error {
	var evictedAt time.Time
	for {
		pause := idleMaintenanceInterval
		now := time.Now()
		if now.Sub(evictedAt) >= evictionInterval {
			evictedAt = now
			i.evictUnusedBackends()
		}
		i.reads.decay(now)
		wanted := i.wantedProofs()
		for _, b := range i.allBackends() {
			if b.maintain(now, wanted(b)) {
				pause = lender.MaintenanceInterval
			}
		}
		if i.backendCount() == 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(unusedMaintenanceInterval):
				continue
			case <-i.backendAdded:
			}
		}
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// expectsPeerProofs reports whether peers will soon send the groups' freshness proofs, since
// this instance has just started and does not read the store itself. Until then reads go to
// the primary. This keeps queries low when all instances restart at once.
func (i *Instance) expectsPeerProofs() bool {
	return i.peers != nil && i.Clock()-i.startedAt < peerProofTimeout && i.peers.exchanger.FollowsPeers()
}

// maintain wakes the group's tasks that are due, and reports whether it needs maintenance
// again within lender.MaintenanceInterval. The proof is renewed if it is wanted.
func (b *backend) maintain(now time.Time, proofWanted bool) bool {
	b.Pool.Maintain(now)
	b.recordLoad()
	noPrimary := b.Group.Primary() == ""
	if noPrimary && now.Sub(b.primarySearchedAt) >= primarySearchInterval {
		b.primarySearchedAt = now
		notify(b.primaryUnknown)
	}
	if now.Sub(b.proofCheckedAt) >= proofCheckInterval {
		b.proofCheckedAt = now
		if proofWanted && b.proofAge() > b.renewalAge() {
			notify(b.proofExpired)
		}
	}
	return noPrimary || b.Pool.Active()
}

// recordLoad records how long requests wait for this instance's own connections, so that reads go to
// other members, and the load of members whose connections this instance holds for all. The waits at
// other instances come with each loan.
func (b *backend) recordLoad() {
	_, _, waiting, _ := b.Pool.Stats()
	for _, id := range b.Group.IDs() {
		b.Group.SetRoundTrips(id, b.Pool.RoundTrips(id))
		if statements, all := b.Pool.HeldStatements(id); all {
			b.Group.ObserveHeld(b.clock(), id, statements)
		}
		if waiting == 0 {
			continue
		}
		if waits, queued := b.Pool.Drain(id); queued > 0 && len(waits) > 0 {
			b.Group.RecordWait(b.clock(), id, waits[len(waits)-1])
		}
	}
}

// notify wakes the receiver of a channel, unless a notification is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// proofAge returns the age of the group's newest freshness proof.
func (b *backend) proofAge() time.Duration {
	p, ok := b.Group.NewestProof()
	if !ok {
		return math.MaxInt64
	}
	return b.clock() - p.At
}

// renewProofs renews the group's freshness proof when it has expired. Reads on replicas need
// a recent one, and without traffic at the primary nothing else renews it.
func (b *backend) renewProofs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.proofExpired:
		}
		var queries sync.WaitGroup
		queries.Go(func() { b.proveFromPrimary(ctx) })
		if b.proofAge() > replicaProofAge {
			queries.Go(func() { b.proveFromReplicas(ctx) })
		}
		queries.Wait()
	}
}

func (b *backend) renewalAge() time.Duration {
	if b.clock()-tracker.Timestamp(b.lastPeerProof.Load()) < peerProofTimeout || b.Pool.ConnectionsScarce(b.Group.Primary()) {
		return relaxedProofRenewalAge
	}
	return proofRenewalAge
}

// acceptPeerProof records a freshness proof sent by a peer.
func (b *backend) acceptPeerProof(p tracker.FreshnessProof) {
	now := b.clock()
	if !b.Group.AddRemoteProof(now, p) {
		return
	}
	b.lastPeerProof.Store(int64(now))
	b.Pool.MembersChanged()
}

// proveFromPrimary renews the freshness proof by opening and rolling back a transaction at
// the primary. Only a primary accepts it, and it occupies no execution slot.
func (b *backend) proveFromPrimary(ctx context.Context) {
	until := time.Now().Add(proofTimeout)
	if b.Group.Primary() == "" {
		return
	}
	c, err := b.Pool.Borrow(ctx, lender.Request{Deadline: until, StatusQuery: true, EligibleMembers: func() []string { return []string{b.Group.Primary()} }})
	if err != nil {
		return
	}
	defer b.Pool.Return(c)
	queriedAt := b.clock()
	replies, _, err := c.Exchange([]messenger.Command{{Kind: messenger.KindBegin}, {Kind: messenger.KindRollback}}, time.Now().Add(proofTimeout))
	if err != nil {
		c.Close()
		b.ReportSuspect(c.Member)
		return
	}
	switch replies[0].Code {
	case messenger.CodeNone:
		b.Group.AddProof(tracker.FreshnessProof{At: queriedAt, Position: replies[0].Position})
		b.Pool.MembersChanged()
	case messenger.CodeNotPrimary:
		b.Group.ClearPrimary(c.Member)
		b.ReportSuspect(c.Member)
	}
}

// reportSuspect requests a check whether a member is still the primary, unless one is
// already pending. It also requests a proof, which may come from the replicas.
func (b *backend) reportSuspect(member string) {
	select {
	case b.suspects <- member:
	default:
	}
	if b.proofAge() > b.renewalAge() {
		notify(b.proofExpired)
	}
}

// detectPrimary queries the members when the known primary is suspect or none is known.
func (b *backend) detectPrimary(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case member := <-b.suspects:
			if member == b.Group.Primary() || b.Group.Primary() == "" {
				b.queryMembers(ctx)
				if sleeper.Sleep(ctx, primaryCheckInterval) != nil {
					return
				}
			}
		case <-b.primaryUnknown:
			b.queryMembers(ctx)
		}
	}
}

// queryMembers queries the status of all members.
func (b *backend) queryMembers(ctx context.Context) {
	var queries sync.WaitGroup
	for _, id := range b.Group.IDs() {
		queries.Go(func() { _, _ = b.queryStatus(ctx, id) })
	}
	queries.Wait()
}

// sendPooled sends an idempotent command to a member on a connection of the pool, and through other
// instances at the same time. It returns the first reply.
func (b *backend) sendPooled(ctx context.Context, id string, command messenger.Command) (messenger.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	paths := []func(context.Context, string, messenger.Command) (messenger.Reply, error){b.sendLocally}
	if b.sendThroughPeers != nil {
		paths = append(paths, b.sendThroughPeers)
	}
	type result struct {
		reply messenger.Reply
		err   error
	}
	results := make(chan result, len(paths))
	for _, send := range paths {
		go func() {
			r, err := send(ctx, id, command)
			results <- result{r, err}
		}()
	}
	var last error
	for range paths {
		r := <-results
		if r.err == nil {
			return r.reply, nil
		}
		last = r.err
	}
	return messenger.Reply{}, last
}

// sendLocally sends a command to a member on a connection of this instance's own.
func (b *backend) sendLocally(ctx context.Context, id string, command messenger.Command) (messenger.Reply, error) {
	until, _ := ctx.Deadline()
	c, err := b.Pool.Borrow(ctx, lender.Request{Deadline: until, StatusQuery: true, LocalOnly: true, EligibleMembers: func() []string { return []string{id} }})
	if err != nil {
		return messenger.Reply{}, err
	}
	defer b.Pool.Return(c)
	replies, _, err := c.Exchange([]messenger.Command{command}, until)
	if err != nil {
		c.Close()
		return messenger.Reply{}, err
	}
	return replies[0], nil
}

// queryStatus queries the status of a member and records it.
func (b *backend) queryStatus(ctx context.Context, id string) (messenger.Status, bool) {
	until := time.Now().Add(proofTimeout)
	c, err := b.Pool.Borrow(ctx, lender.Request{Deadline: until, StatusQuery: true, EligibleMembers: func() []string { return []string{id} }})
	if err != nil {
		return messenger.Status{}, false
	}
	defer b.Pool.Return(c)
	queriedAt := b.clock()
	replies, _, err := c.Exchange([]messenger.Command{{Kind: messenger.KindStatus}}, time.Now().Add(proofTimeout))
	if err != nil {
		c.Close()
		b.Group.RecordFailure(b.clock(), id, false)
		return messenger.Status{}, false
	}
	s, err := b.codec.Status(replies[0])
	if err != nil {
		return messenger.Status{}, false
	}
	if b.Group.UpdateStatus(queriedAt, id, s) {
		b.log("event", "primary", "group", b.Group.Name, "member", b.Group.Primary(), "term", s.Term, "source", "status", "of", id)
		b.Pool.MembersChanged()
	}
	return s, true
}
