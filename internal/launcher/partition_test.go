package launcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/shoenig/test/must"
)

const (
	// behindCutIP is the instance on the primary's side of the cut, ownerIP the group's owner and
	// otherIP a third instance on the owner's side.
	behindCutIP, ownerIP, otherIP = "10.5.0.1", "10.5.0.2", "10.5.0.3"
	storeIP, oldPrimaryIP         = "10.6.0.1", "10.9.1.1"
	// writersEach is the number of callers of an instance, writePause the time between the
	// response to a caller's write and its next one.
	writersEach = 4
	writePause  = 20 * time.Millisecond
	// registrationDelay is the time from a member's start until the store has its entry.
	registrationDelay = 50 * time.Millisecond
	// cutDuration is longer than servedWithin, within which callers on the owner's side must be served.
	cutDuration  = 8 * time.Second
	servedWithin = 6 * time.Second
	// recoveredWithin is the time after the cut within which its callers must be served again.
	recoveredWithin = 4 * time.Second
)

// partition is a fleet whose primary and one instance can be cut off from the rest, with callers
// that write through that instance and through the group's owner.
type partition struct {
	*fleet
	cutAt, healedAt   time.Time
	behindCut, beside *soak
	// primaryAfter is the primary servedWithin after the cut.
	primaryAfter string
}

// runPartition runs a scenario with callers, and the assertions after their last writes. The group's
// commits are acknowledged once one replica has received them, and a promotion takes a second.
func runPartition(t *testing.T, scenario, assertions func(p *partition)) {
	t.Helper()
	prepare := func(g *groupsimulator.Group) { g.PromotionDelay = time.Second }
	runFleetUnchecked(t, prepare, func(f *fleet) {
		f.logEvents = []string{"move-begins", "promotion-ordered", "paused", "move-ended"}
		f.registrationDelay.Store(int64(registrationDelay))
		f.start(ownerIP, "b")
		time.Sleep(3 * time.Second)
		f.start(behindCutIP, "a")
		f.start(otherIP, "c")
		time.Sleep(3 * time.Second)
		must.StrHasPrefix(f.t, "entry-"+ownerIP+"-", f.groupOwner())
		p := &partition{fleet: f, behindCut: newSoak(f, 1), beside: newSoak(f, 2)}
		for _, s := range []*soak{p.behindCut, p.beside} {
			s.dial = func(ctx context.Context, n int, ip string) (net.Conn, error) {
				return s.net.Host(fmt.Sprintf("10.7.9.%d", n+1), "callers").Dial(ctx, ip+":5000")
			}
		}
		var writers sync.WaitGroup
		until := time.Now().Add(time.Second + cutDuration + recoveredWithin)
		for n := range writersEach {
			writers.Go(func() { p.behindCut.keepWriting(n, behindCutIP, until) })
			writers.Go(func() { p.beside.keepWriting(writersEach+n, ownerIP, until) })
		}
		time.Sleep(time.Second)
		p.cutAt = time.Now()
		scenario(p)
		writers.Wait()
		f.t.Log("through", behindCutIP, p.behindCut.outcomes, "through the owner", p.beside.outcomes)
		assertions(p)
	})
}

// groupOwner returns the name and run of the instance that owns the group, by its record in the store.
func (f *fleet) groupOwner() string {
	record, err := f.store.Get(f.ctx, elector.OwnershipPrefix+"g")
	must.NoError(f.t, err)
	fields := map[string]any{}
	must.NoError(f.t, json.Unmarshal(record.Value, &fields), must.Sprint(string(record.Value)))
	return fmt.Sprint(fields["holder"])
}

// keepWriting writes increasing values of the caller's own key through an instance.
func (s *soak) keepWriting(caller int, ip string, until time.Time) {
	var c *soakClient
	for value := 1; time.Now().Before(until); time.Sleep(writePause) {
		if c == nil {
			c = s.connect(caller, ip, "strict")
		}
		if c == nil {
			continue
		}
		if !s.write(c, fmt.Sprintf("k%d", caller), value, false) {
			_ = c.conn.Close()
			c = nil
		}
		value++
	}
	if c != nil {
		_ = c.conn.Close()
	}
}

// cut cuts the primary and behindCutIP off from the store, the replicas and the other instances.
func (p *partition) cut(sever func(a, b string)) {
	for _, a := range []string{oldPrimaryIP, behindCutIP} {
		for _, b := range []string{storeIP, ownerIP, otherIP, "10.9.1.2", "10.9.1.3"} {
			sever(a, b)
		}
	}
	p.group.BlockReplication("g-1", "g-2", "g-3")
	p.group.BlockReplication("g-2", "g-1")
	p.group.BlockReplication("g-3", "g-1")
}

func (p *partition) heal() {
	p.net.HealAll()
	for _, m := range p.group.Registrations() {
		p.group.UnblockReplication(m.ID)
	}
	p.healedAt = time.Now()
}

// joinReplica joins a replica that reaches both sides and receives the primary's log at once.
func (p *partition) joinReplica() {
	p.group.Join("g-4", "c", "10.9.1.4")
	p.group.SetReplicationDelay("g-4", time.Millisecond)
}

// assertNothingLost checks that the primary's log has every write that was acknowledged to a caller.
func (p *partition) assertNothingLost() {
	p.t.Helper()
	written := map[string]bool{}
	for _, e := range p.group.Log() {
		written[e.Key+"="+e.Value] = true
	}
	var missing []string
	for ip, s := range map[string]*soak{behindCutIP: p.behindCut, ownerIP: p.beside} {
		for key, list := range s.acknowledged {
			for _, a := range list {
				if w := fmt.Sprintf("%s=%d", key, a.value); !written[w] {
					missing = append(missing, fmt.Sprintf("%s acknowledged by entry-%s %v after the cut", w, ip, a.acknowledgedAt.Sub(p.cutAt)))
				}
			}
		}
	}
	slices.Sort(missing)
	if len(missing) > 0 {
		id, term := p.group.Primary()
		p.t.Errorf("cut at %s; %d acknowledged writes are missing in the log of %s, which leads term %d:\n%s",
			p.cutAt.UTC().Format("15:04:05.000"), len(missing), id, term, strings.Join(missing, "\n"))
	}
}

// assertAcknowledged checks that a write was acknowledged after one time and at the latest at another.
func (p *partition) assertAcknowledged(s *soak, after, latest time.Time, what string) {
	p.t.Helper()
	for _, list := range s.acknowledged {
		for _, a := range list {
			if a.acknowledgedAt.After(after) && !a.acknowledgedAt.After(latest) {
				return
			}
		}
	}
	p.t.Errorf("%s: no write was acknowledged within %v", what, latest.Sub(after))
}

// Guards against losing writes that an instance acknowledges behind a partition: it reaches the primary,
// but neither the owner nor the store, and a replica that joins lets the primary acknowledge commits
// while the owner replaces it.
func TestReplicaJoinsBehindPartition(t *testing.T) {
	for after := 600 * time.Millisecond; after <= 2400*time.Millisecond; after += 100 * time.Millisecond {
		t.Run(fmt.Sprint("joins-after-", after), func(t *testing.T) {
			t.Parallel()
			runPartition(t, func(p *partition) { p.joinDuringCut(after, p.net.Partition) }, (*partition).assertChange)
		})
	}
	t.Run("no-cut", func(t *testing.T) {
		runPartition(t, (*partition).joinReplica, (*partition).assertUndisturbed)
	})
}

// Guards against taking a primary for crashed because its host refuses connections from one side of a
// partition: instances that reach it pass on what it acknowledges through a replica that joins.
func TestReplicaJoinsBehindRefusingPartition(t *testing.T) {
	testRefusingPrimary(t, func(p *partition, a, b string) {
		if a == oldPrimaryIP {
			p.net.Refuse(a, b)
		} else {
			p.net.Partition(a, b)
		}
	}, (*partition).assertChange)
}

// Guards against taking a primary for crashed because it refuses the owner's connections only: the owner
// reaches instances that reach the primary, and they can tell it to step down.
func TestReplicaJoinsBesideRefusingPrimary(t *testing.T) {
	testRefusingPrimary(t, func(p *partition, a, b string) {
		if a == oldPrimaryIP && b == ownerIP {
			p.net.Refuse(a, b)
		}
	}, func(p *partition) {
		p.assertChange()
		must.StrContains(p.t, p.log.String(), "event=stepped-down group=g member=g-1 ")
	})
}

// testRefusingPrimary has a replica join at several times after a cut.
func testRefusingPrimary(t *testing.T, sever func(p *partition, a, b string), assertions func(p *partition)) {
	t.Helper()
	for after := 300 * time.Millisecond; after <= 1500*time.Millisecond; after += 200 * time.Millisecond {
		t.Run(fmt.Sprint("joins-after-", after), func(t *testing.T) {
			t.Parallel()
			runPartition(t, func(p *partition) {
				p.joinDuringCut(after, func(a, b string) { sever(p, a, b) })
			}, assertions)
		})
	}
}

// joinDuringCut has a replica join the given time after a cut.
func (p *partition) joinDuringCut(after time.Duration, sever func(a, b string)) {
	p.cut(sever)
	time.Sleep(after)
	p.joinReplica()
	time.Sleep(servedWithin - after)
	p.primaryAfter, _ = p.group.Primary()
	time.Sleep(cutDuration - servedWithin)
	p.heal()
}

// assertChange checks that the group has a new primary, that nothing is lost, and that callers on the
// owner's side are served during the cut and those behind it afterwards.
func (p *partition) assertChange() {
	p.assertNothingLost()
	must.SliceNotContains(p.t, []string{"", "g-1"}, p.primaryAfter)
	p.assertAcknowledged(p.beside, p.cutAt.Add(500*time.Millisecond), p.cutAt.Add(servedWithin), "callers on the owner's side")
	p.assertAcknowledged(p.behindCut, p.healedAt, p.healedAt.Add(recoveredWithin), "callers behind the cut, after it")
}

// assertUndisturbed checks that no write had an unknown outcome while nothing was cut.
func (p *partition) assertUndisturbed() {
	p.assertNothingLost()
	for _, s := range []*soak{p.behindCut, p.beside} {
		must.MapEmpty(p.t, s.unknown)
		must.Positive(p.t, s.outcomes["done"])
	}
}
