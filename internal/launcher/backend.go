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
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

const (
	// restInterval is the pause between two looks at the groups while this instance has no
	// connections of its own, and proveInterval how often it is looked whether a group's
	// proof is old.
	restInterval  = 200 * time.Millisecond
	proveInterval = 200 * time.Millisecond
	// proofAge is when a proof is renewed in a group that is used. Reads may be 1.5 to
	// 2.5 s old; a proof that is renewed after 0.4 s leaves replicas a second to lag.
	proofAge = 400 * time.Millisecond
	// lateProof is when the replicas are asked as well: nothing has brought a proof for
	// this long.
	lateProof = 1200 * time.Millisecond
	// scarceProofAge takes the place of proofAge where the primary has fewer places than
	// there are instances, as each renewal needs one, and where another instance tells its
	// proofs: these come each 0.5 s and are usually at most 0.6 s old by then.
	scarceProofAge = time.Second
	// toldFor is how long after a proof that another told the next one is expected.
	toldFor = 1500 * time.Millisecond
	// proveTimeout bounds the renewal, and the wait for its connection.
	proveTimeout = 300 * time.Millisecond
	// searchInterval is how often members are asked who leads while nobody knows.
	searchInterval = 100 * time.Millisecond
	// suspicionPause is the least time between two looks at a suspected primary.
	suspicionPause = 150 * time.Millisecond
)

// backend is a group with what keeps the instance's belief about it true.
type backend struct {
	dispatcher.Backend
	clock     func() tracker.Timestamp
	codec     messenger.MemberCodec
	log       func(fields ...any)
	suspicion chan string
	// aged wakes prove when the group's proof is old, leaderless wakes search when nobody is
	// known to lead.
	aged, leaderless chan struct{}
	// checked is when the proof's age was last looked at, searched when members were last
	// to be asked who leads; only tend uses them.
	checked, searched time.Time
	// roster returns the members whose logs may hold acknowledged commits, and whether
	// a commit is acknowledged by a replica at all.
	roster func() (ids []string, synchronous bool)
	// told is when another instance last told a proof that was of use.
	told atomic.Int64
}

// run keeps the pool, the proof and the belief who leads until the context ends.
func (b *backend) run(ctx context.Context) {
	var parts sync.WaitGroup
	parts.Go(func() { _ = b.Pool.Run(ctx) })
	parts.Go(func() { b.search(ctx) })
	parts.Go(func() { b.prove(ctx) })
	parts.Wait()
}

// tend looks after all groups until the context ends. With a ticker for each duty of each
// group, an instance before 20 groups that serves 5 requests a second woke 670 times a
// second for nothing. One without connections of its own, as most are where a zone's are
// held by few, has nothing to look after that needs more than restInterval.
func (i *Instance) tend(ctx context.Context) error {
	for {
		pause := restInterval
		now := time.Now()
		told := i.expectsProofs()
		for _, b := range i.groupsInUse() {
			if b.tend(now, told) {
				pause = lender.MaintenanceInterval
			}
		}
		if err := sleeper.Sleep(ctx, pause); err != nil {
			return err
		}
	}
}

// expectsProofs reports whether another instance will soon tell this one the groups' proofs:
// it has just started and leaves the store to others. Until then a read asks the primary,
// which proves it as well. After all have lost power, 295 instances that each ask for 20
// groups, the replicas too, make some 20,000 questions in the second in which callers come
// back.
func (i *Instance) expectsProofs() bool {
	return i.peers != nil && i.Clock()-i.booted < toldFor && i.peers.teller.FollowsPeers()
}

// tend wakes what is due for the group, and reports whether it is to be looked at again
// soon. With told, another instance is about to tell the group's proof.
func (b *backend) tend(now time.Time, told bool) bool {
	b.Pool.Maintain(now)
	leaderless := b.Group.Primary() == ""
	if leaderless && now.Sub(b.searched) >= searchInterval {
		b.searched = now
		poke(b.leaderless)
	}
	if now.Sub(b.checked) >= proveInterval {
		b.checked = now
		if !told && b.proofAge() > b.renewAfter() {
			poke(b.aged)
		}
	}
	return leaderless || b.Pool.Active()
}

// poke wakes who waits for a channel, unless that is already due.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// proofAge is how old the group's newest proof is.
func (b *backend) proofAge() time.Duration {
	p, ok := b.Group.NewestProof()
	if !ok {
		return math.MaxInt64
	}
	return b.clock() - p.At
}

// prove renews the group's proof. Reads on replicas need one that is young enough;
// without writes or reads at the primary nothing else renews it.
func (b *backend) prove(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.aged:
		}
		var asked sync.WaitGroup
		asked.Go(func() { b.renew(ctx) })
		if b.proofAge() > lateProof {
			asked.Go(func() { b.proveByReplicas(ctx) })
		}
		asked.Wait()
	}
}

func (b *backend) renewAfter() time.Duration {
	if b.clock()-tracker.Timestamp(b.told.Load()) < toldFor || b.Pool.ConnectionsScarce(b.Group.Primary()) {
		return scarceProofAge
	}
	return proofAge
}

// hear takes in a proof that another instance tells.
func (b *backend) hear(p tracker.FreshnessProof) {
	now := b.clock()
	if !b.Group.AddRemoteProof(now, p) {
		return
	}
	b.told.Store(int64(now))
	b.Pool.MembersChanged()
}

// proveByReplicas makes a proof without the primary. After all instances have lost
// power, it is full of their old connections for up to 3 s, and without a proof every
// read would wait there. An acknowledged commit was received by a replica, so when
// every replica has told what it has received, the furthest holds all that was
// acknowledged before they were asked.
func (b *backend) proveByReplicas(ctx context.Context) {
	ids, synchronous := b.roster()
	if !synchronous || len(ids) < 2 {
		return
	}
	floor, ok := b.replicasFloor()
	if !ok {
		return
	}
	asked := b.clock()
	primary := b.Group.Primary()
	said := make([]messenger.Status, len(ids))
	answered := make([]bool, len(ids))
	var asking sync.WaitGroup
	for i, id := range ids {
		if id != primary {
			asking.Go(func() { said[i], answered[i] = b.ask(ctx, id) })
		}
	}
	asking.Wait()
	p := tracker.FreshnessProof{At: asked, Position: floor, FromReplicas: true}
	for i, id := range ids {
		if id == primary {
			continue
		}
		if !answered[i] {
			return
		}
		p.Position = orderer.Max(p.Position, said[i].Received)
	}
	b.log("event", "proved-by-replicas", "group", b.Group.Name, "position", p.Position, "replicas", len(ids)-1)
	b.Group.AddProof(p)
	b.Pool.MembersChanged()
}

// replicasFloor is the least that a proof by the replicas must show. A replica that has
// started again may have acknowledged a commit that no other replica has, and lost it: a
// read would miss the commit. Only the primary can tell how far its log was then, so
// without a proof of the primary's from after the restart it is false.
func (b *backend) replicasFloor() (orderer.Position, bool) {
	restarted := b.Group.LastRestart(b.clock())
	if restarted == 0 {
		return orderer.Position{}, true
	}
	p, ok := b.Group.NewestPrimaryProof()
	return p.Position, ok && restarted < p.At
}

// renew opens a transaction at the primary and rolls it back. Only a member that
// leads opens one, and it takes no slot.
func (b *backend) renew(ctx context.Context) {
	until := time.Now().Add(proveTimeout)
	if b.Group.Primary() == "" {
		return
	}
	c, err := b.Pool.Borrow(ctx, lender.Request{Deadline: until, StatusQuery: true, EligibleMembers: func() []string { return []string{b.Group.Primary()} }})
	if err != nil {
		return
	}
	defer b.Pool.Return(c)
	asked := b.clock()
	replies, _, err := c.Exchange([]messenger.Command{{Kind: messenger.KindBegin}, {Kind: messenger.KindRollback}}, time.Now().Add(proveTimeout))
	if err != nil {
		c.Close()
		b.Suspect(c.Member)
		return
	}
	switch replies[0].Code {
	case messenger.CodeNone:
		b.Group.AddProof(tracker.FreshnessProof{At: asked, Position: replies[0].Position})
		b.Pool.MembersChanged()
	case messenger.CodeNotPrimary:
		b.Group.ClearPrimary(c.Member)
		b.Suspect(c.Member)
	}
}

// suspect asks for a look at the group's members, unless one is under way.
func (b *backend) suspect(member string) {
	select {
	case b.suspicion <- member:
	default:
	}
}

// search finds out who leads, when the member that was believed to may not.
func (b *backend) search(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case member := <-b.suspicion:
			if member == b.Group.Primary() || b.Group.Primary() == "" {
				b.look(ctx)
				if sleeper.Sleep(ctx, suspicionPause) != nil {
					return
				}
			}
		case <-b.leaderless:
			b.look(ctx)
		}
	}
}

// look asks all members for their status.
func (b *backend) look(ctx context.Context) {
	var asked sync.WaitGroup
	for _, id := range b.Group.IDs() {
		asked.Go(func() { _, _ = b.ask(ctx, id) })
	}
	asked.Wait()
}

// ask asks a member for its status, and takes it in.
func (b *backend) ask(ctx context.Context, id string) (messenger.Status, bool) {
	until := time.Now().Add(proveTimeout)
	c, err := b.Pool.Borrow(ctx, lender.Request{Deadline: until, StatusQuery: true, EligibleMembers: func() []string { return []string{id} }})
	if err != nil {
		return messenger.Status{}, false
	}
	defer b.Pool.Return(c)
	asked := b.clock()
	replies, _, err := c.Exchange([]messenger.Command{{Kind: messenger.KindStatus}}, time.Now().Add(proveTimeout))
	if err != nil {
		c.Close()
		b.Group.RecordFailure(b.clock(), id, false)
		return messenger.Status{}, false
	}
	s, err := b.codec.Status(replies[0])
	if err != nil {
		return messenger.Status{}, false
	}
	if b.Group.UpdateStatus(asked, id, s) {
		b.log("event", "primary", "group", b.Group.Name, "member", b.Group.Primary(), "term", s.Term, "source", "status", "of", id)
		b.Pool.MembersChanged()
	}
	return s, true
}
