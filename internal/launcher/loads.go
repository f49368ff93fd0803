package launcher

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/balancer"
	"github.com/oriolegw/oriolegw/internal/exchanger"
	"github.com/oriolegw/oriolegw/internal/sleeper"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// loadRequestInterval is the interval at which a supervisor is asked for the loads of its groups
	// while a member is loaded, and idleLoadRequestInterval otherwise. The loads that reach the lowest
	// level of the tree are then usually younger than balancer.MaxLoadAge. The proofs that come with
	// them replace those that this instance would request from the primaries.
	loadRequestInterval     = 500 * time.Millisecond
	idleLoadRequestInterval = time.Second
	// loadLogInterval is the minimum time between two log lines of one kind about loads.
	loadLogInterval = time.Second
)

// recentLoads returns the recent loads of the members of groups, of all groups if the list is nil.
func (i *Instance) recentLoads(groups []string) []exchanger.GroupLoad {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if groups == nil {
		groups = slices.Sorted(maps.Keys(i.backends))
	}
	now := i.Clock()
	var list []exchanger.GroupLoad
	for _, name := range groups {
		if b, ok := i.backends[name]; ok {
			for _, l := range b.Group.Loads(now) {
				list = append(list, exchanger.GroupLoad{Group: name, MemberLoad: l})
			}
		}
	}
	return list
}

// acceptPeerLoad records the load of a member that a peer has observed.
func (i *Instance) acceptPeerLoad(l exchanger.GroupLoad) {
	i.mutex.Lock()
	b := i.backends[l.Group]
	i.mutex.Unlock()
	if b == nil {
		return
	}
	now := i.Clock()
	err := b.Group.AddRemoteLoad(now, l.MemberLoad)
	if err == nil {
		return
	}
	i.metrics.Counter(metricLoadsRejected).Inc(1)
	if i.loadRejections.due(now) {
		i.stateLog.Log("event", "load-rejected", "group", l.Group, "member", l.Member, "busy", l.Busy, "slots", l.Slots, "age-ms", (now - l.At).Milliseconds(), "cause", err)
	}
}

// requestLoads requests the loads of the members, unless this instance gets them along with the state
// of the store. It runs until the context ends.
func (i *Instance) requestLoads(ctx context.Context) error {
	requestedAt := map[string]tracker.Timestamp{}
	for {
		if err := sleeper.Sleep(ctx, loadRequestInterval); err != nil {
			return err
		}
		if i.peers.exchanger.FollowsPeers() {
			clear(requestedAt)
			continue
		}
		i.requestLoadsOnce(ctx, requestedAt)
	}
}

// requestLoadsOnce requests the loads that are due. The first reader of a region asks the supervisors,
// the others ask it, which takes fewer bytes between regions, and the supervisors if it doesn't answer.
func (i *Instance) requestLoadsOnce(ctx context.Context, requestedAt map[string]tracker.Timestamp) {
	var requests sync.WaitGroup
	defer requests.Wait()
	now := i.Clock()
	supervised := i.groupsBySupervisor()
	maps.DeleteFunc(requestedAt, func(address string, _ tracker.Timestamp) bool { return supervised[address] == nil })
	due := map[string][]string{}
	for address, groups := range supervised {
		interval := idleLoadRequestInterval
		if len(i.recentLoads(groups)) > 0 {
			interval = loadRequestInterval
		}
		// Half an interval covers the jitter of the timer.
		if at, ok := requestedAt[address]; !ok || now-at >= interval-loadRequestInterval/2 {
			requestedAt[address], due[address] = now, groups
		}
	}
	if first := i.peers.exchanger.FirstReader(); first != "" && len(due) > 0 {
		if i.requestLoadsOf(ctx, first, slices.Concat(slices.Collect(maps.Values(due))...)) {
			return
		}
	}
	for address, groups := range due {
		requests.Go(func() { i.requestLoadsOf(ctx, address, groups) })
	}
}

// requestLoadsOf requests the loads of groups from an instance and reports whether it answered.
func (i *Instance) requestLoadsOf(ctx context.Context, address string, groups []string) bool {
	err := i.peers.exchanger.RequestLoads(ctx, address, groups)
	if err != nil && ctx.Err() == nil && i.loadFailures.due(i.Clock()) {
		i.stateLog.Log("event", "loads-not-received", "address", address, "groups", strings.Join(groups, ","), "cause", err)
	}
	return err == nil
}

// groupsBySupervisor returns the groups that are read, by the address of the other instance that
// supervises them.
func (i *Instance) groupsBySupervisor() map[string][]string {
	c := i.configuration.Load()
	if c == nil {
		return nil
	}
	groups := slices.Sorted(maps.Keys(c.Groups))
	if !preparesAll(c) {
		groups = slices.DeleteFunc(groups, func(g string) bool { return i.reads.all.Rate(g) < minReadRate })
	}
	addresses := map[string]string{}
	for _, p := range i.peers.exchanger.Discoverer.AllKnown() {
		addresses[p.Name] = p.Address
	}
	delete(addresses, i.Settings.Name)
	list := map[string][]string{}
	for _, g := range groups {
		if address := addresses[instanceOfOwner(i.elector.Owner(g))]; address != "" {
			list[address] = append(list[address], g)
		}
	}
	return list
}

// recordPlacement counts the decisions where a group's reads go, and logs those whose outcome
// differs from the last one.
func (i *Instance) recordPlacement(group string) func(tracker.Placement) {
	var mutex sync.Mutex
	var last balancer.Outcome
	var limit logLimit
	return func(p tracker.Placement) {
		i.placements[p.Outcome].Inc(1)
		mutex.Lock()
		defer mutex.Unlock()
		if p.Outcome == last || !limit.due(i.Clock()) {
			return
		}
		last = p.Outcome
		var inputs []string
		for _, m := range p.Candidates {
			inputs = append(inputs, fmt.Sprintf("%s:%.1f/%d,%dms,%dms-old", m.ID, m.Busy+m.OwnExcess, m.Slots, m.Cost().Milliseconds(), m.Age.Milliseconds()))
		}
		i.stateLog.Log("event", "read-placement", "group", group, "outcome", p.Outcome, "candidates", strings.Join(inputs, " "))
	}
}

// logLimit limits the rate of log lines of one kind.
type logLimit struct {
	mutex sync.Mutex
	at    tracker.Timestamp
}

// due reports whether a line may be written now, which then counts as written.
func (l *logLimit) due(now tracker.Timestamp) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.at != 0 && now-l.at < loadLogInterval {
		return false
	}
	l.at = now
	return true
}
