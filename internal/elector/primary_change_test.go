package elector_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/elector"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// harness is a group under write load, with a supervisor that owns it.
type harness struct {
	group     *groupsimulator.Group
	net       *netsimulator.Net
	ownership *fakeOwnership
	clock     func() tracker.Timestamp
	// synchronous is the number of replicas that hold each commit, as reported to the supervisor.
	synchronous int
	// tracked is the supervisor's view of the group.
	tracked *tracker.Group

	ctx  context.Context
	stop context.CancelFunc
	done chan error

	mutex  sync.Mutex
	events []string
	onLog  func(event string)
	// unseen are the members that the supervisor's view of the registry lacks until it reads the
	// registry; registryError is what that returns.
	unseen        map[string]bool
	registryError error
	// registryReadings is the number of readings that succeed before registryError.
	registryReadings int
	// unregistered are the members that a reading of the registry doesn't show either.
	unregistered map[string]bool
	// stateLost is set if the store doesn't hold the state that was recorded.
	stateLost atomic.Bool
	// knownStart holds start times that other writers have registered.
	knownStart map[string]int64
	// delayOrder, when set, returns how long after an order to promote a member it is executed; an order
	// that is delayed gets no response. token is the highest fencing token seen.
	delayOrder func(member string) time.Duration
	token      int64
	// holdOrder, when set, reports whether an order gets no response and is executed by executeHeld.
	holdOrder func() bool
	held      []func()
	// peersUnreachable is set if no other instance responds to the supervisor.
	peersUnreachable bool
	leases           callerLeases
}

// callerLeases are the commit leases of the callers' instances, which renew them all the time.
type callerLeases struct {
	mutex sync.Mutex
	clock func() tracker.Timestamp
	// term is that of the leases; until is when they end, 0 while they are renewed.
	term  uint64
	until tracker.Timestamp
}

func (l *callerLeases) allow(term uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.term, l.until = term, 0
}

func (l *callerLeases) suspend() tracker.Timestamp {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.until == 0 {
		l.until = l.clock() + elector.CommitLeaseTTL
	}
	return l.until + 100*time.Millisecond
}

// valid reports whether a commit of a term may be acknowledged.
func (l *callerLeases) valid(term uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return term == l.term && (l.until == 0 || l.clock() < l.until)
}

// errOrderRefused is the platform's refusal of an order, errNoResponse the outcome of a delayed one.
var (
	errOrderRefused = errors.New("order refused")
	errNoResponse   = errors.New("no response")
)

// setUnseen hides a member from the supervisor until it reads the registry.
func (h *harness) setUnseen(id string, unseen bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.unseen == nil {
		h.unseen = map[string]bool{}
	}
	h.unseen[id] = unseen
}

// setKnownStart lets the supervisor know a later start time of a member than its own.
func (h *harness) setKnownStart(id string, start int64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.knownStart = map[string]int64{id: start}
}

// setUnregistered hides a member from readings of the registry.
func (h *harness) setUnregistered(id string, unregistered bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.unregistered == nil {
		h.unregistered = map[string]bool{}
	}
	h.unregistered[id] = unregistered
}

func (h *harness) setRegistryError(err error) { h.failRegistryAfter(0, err) }

// failRegistryAfter lets a number of readings of the registry succeed, and the later ones return err.
func (h *harness) failRegistryAfter(readings int, err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.registryReadings, h.registryError = readings, err
}

// order executes an order to promote, or delays it.
func (h *harness) order(_ context.Context, _, id string, token int64) error {
	h.mutex.Lock()
	delayOrder := h.delayOrder
	hold := h.holdOrder != nil && h.holdOrder()
	if hold {
		h.held = append(h.held, func() { _ = h.execute(id, token) })
	}
	h.mutex.Unlock()
	if hold {
		return errNoResponse
	}
	if delayOrder != nil {
		if delay := delayOrder(id); delay > 0 {
			time.AfterFunc(delay, func() { _ = h.execute(id, token) })
			return errNoResponse
		}
	}
	return h.execute(id, token)
}

// executeHeld executes the orders that got no response.
func (h *harness) executeHeld() {
	h.mutex.Lock()
	held := h.held
	h.held = nil
	h.mutex.Unlock()
	for _, execute := range held {
		execute()
	}
}

// execute executes an order unless a newer fencing token has been seen.
func (h *harness) execute(id string, token int64) error {
	h.mutex.Lock()
	refused := token < h.token
	h.token = max(h.token, token)
	h.mutex.Unlock()
	if refused || h.group.Promote(id) != nil {
		return errOrderRefused
	}
	return nil
}

// registrations returns the supervisor's view of the registry.
func (h *harness) registrations() []tracker.Member {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	list := h.group.Registrations()
	for n := range list {
		if known := h.knownStart[list[n].ID]; known != 0 {
			list[n].StartTime, list[n].DisputedStart = known, list[n].StartTime
		}
	}
	return slices.DeleteFunc(list, func(m tracker.Member) bool { return h.unseen[m.ID] || h.unregistered[m.ID] })
}

func (h *harness) readRegistry(context.Context) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.registryReadings--; h.registryReadings < 0 && h.registryError != nil {
		return h.registryError
	}
	maps.DeleteFunc(h.unseen, func(id string, _ bool) bool { return !h.unregistered[id] })
	return nil
}

// fakeOwnership is an ownership that is never lost.
type fakeOwnership struct {
	// delay is the response time of the store.
	delay time.Duration
	mutex sync.Mutex
	token int64
	state elector.State
}

func (o *fakeOwnership) NextFencingToken(_ context.Context, f elector.State) (int64, error) {
	o.mutex.Lock()
	delay := o.delay
	o.mutex.Unlock()
	time.Sleep(delay)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.token++
	o.state = f
	return o.token, nil
}

// update changes the ownership under its mutex.
func (o *fakeOwnership) update(change func()) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	change()
}

func (o *fakeOwnership) State() elector.State {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.state
}

func (h *harness) log(fields ...any) {
	event := fmt.Sprint(fields[1])
	h.mutex.Lock()
	h.events = append(h.events, fmt.Sprintln(fields...))
	f := h.onLog
	h.mutex.Unlock()
	if f != nil {
		f(event)
	}
}

func (h *harness) newSupervisor(host *netsimulator.Host, clock func() tracker.Timestamp) *elector.Supervisor {
	h.tracked = &tracker.Group{Name: h.group.Name, Zone: "a", SameRegion: func(string) bool { return false }}
	h.tracked.SetMembers(h.group.Registrations())
	return &elector.Supervisor{
		Group: h.tracked,
		Clock: clock, Codec: platform.LineCodec{}, Members: h.registrations, ReadRegistry: h.readRegistry,
		Connect: func(ctx context.Context, m tracker.Member) (*lender.Conn, error) {
			return lender.Connect(ctx, host, platform.LineCodec{}, m, "keeper")
		},
		SendPooled:       h.sendPooled,
		Holds:            func(time.Duration) bool { return true },
		NextFencingToken: h.ownership.NextFencingToken, State: h.ownership.State,
		StateStored: func() bool { return !h.stateLost.Load() }, StateConfirmed: func() bool { return true }, ReadState: func(context.Context) (bool, error) { return false, nil },
		AllowLeases: h.leases.allow, SuspendLeases: h.leases.suspend, Candidates: func() []string { return nil },
		Promote:             h.order,
		Refused:             func(err error) bool { return errors.Is(err, errOrderRefused) },
		SynchronousReplicas: func() int { return h.synchronous }, ConnectionLimit: func() int { return h.group.MaxConnections }, PrimaryChanged: func() {}, Log: h.log,
	}
}

// sendPooled sends a command to a member from another instance, unless peersUnreachable is set.
func (h *harness) sendPooled(ctx context.Context, id string, command messenger.Command) (messenger.Reply, error) {
	h.mutex.Lock()
	unreachable := h.peersUnreachable
	h.mutex.Unlock()
	if unreachable {
		return messenger.Reply{}, errNoResponse
	}
	for _, m := range h.group.Registrations() {
		if m.ID != id {
			continue
		}
		c, err := lender.Connect(ctx, h.net.Host("10.8.3.1", "a"), platform.LineCodec{}, m, "peer")
		if err != nil {
			return messenger.Reply{}, err
		}
		defer c.Close()
		replies, _, err := c.Exchange([]messenger.Command{command}, time.Now().Add(100*time.Millisecond))
		if err != nil {
			return messenger.Reply{}, err
		}
		return replies[0], nil
	}
	return messenger.Reply{}, errNoResponse
}

// notifyOn returns a channel that receives whenever the supervisor logs an event.
func (h *harness) notifyOn(event string) <-chan struct{} {
	seen := make(chan struct{}, 8)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.onLog = func(logged string) {
		if logged == event {
			seen <- struct{}{}
		}
	}
	return seen
}

// loggedEvents returns the log lines so far.
func (h *harness) loggedEvents() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.Clone(h.events)
}

// logged reports whether the supervisor has logged a line that contains a text.
func (h *harness) logged(text string) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return slices.ContainsFunc(h.events, func(line string) bool { return strings.Contains(line, text) })
}

// startSupervisor starts a supervisor.
func (h *harness) startSupervisor(ctx context.Context) {
	supervisorCtx, stop := context.WithCancel(ctx)
	k, done := h.newSupervisor(h.net.Host("10.8.1.1", "a"), h.clock), make(chan error, 1)
	h.ctx, h.stop, h.done = ctx, stop, done
	go func() { done <- k.Run(supervisorCtx) }()
}

// replaceSupervisor replaces the supervisor by that of another owner, which knows the recorded
// state.
func (h *harness) replaceSupervisor() {
	h.stop()
	<-h.done
	h.startSupervisor(h.ctx)
}

// runScenario runs a group with writers, a supervisor and a scenario.
func runScenario(t *testing.T, scenario func(t *testing.T, h *harness)) {
	t.Helper()
	runScenarioWith(t, &groupsimulator.Group{MaxConnections: 20, StatementTime: time.Millisecond}, scenario)
}

// runScenarioWith is runScenario with the given group.
func runScenarioWith(t *testing.T, group *groupsimulator.Group, scenario func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := netsimulator.New(1)
		net.Latency = func(_, _ *netsimulator.Host) time.Duration { return time.Millisecond }
		h := &harness{net: net, synchronous: 1, ownership: &fakeOwnership{}, group: group}
		group.Name, group.Net, group.ReplicationDelay, group.PromotionDelay = "g", net, 12*time.Millisecond, 600*time.Millisecond
		h.group.Start(ctx, "a", "b", "c")
		begin := time.Now()
		clock := func() tracker.Timestamp { return time.Since(begin) }
		h.clock, h.leases.clock = clock, clock
		var running sync.WaitGroup
		for i := range 3 {
			host := net.Host(fmt.Sprintf("10.8.0.%d", i+1), "a")
			running.Go(func() { writeLoop(ctx, h.group, host) })
		}
		h.startSupervisor(ctx)
		defer func() {
			cancel()
			<-h.done
			running.Wait()
			h.group.Wait()
			if t.Failed() {
				t.Log(strings.Join(h.events, "\n"))
			}
		}()
		scenario(t, h)
		must.SliceEmpty(t, h.group.Violations())
		must.Greater(t, 100, h.group.Acknowledged())
	})
}

// writeLoop writes to the current primary until the context ends.
func writeLoop(ctx context.Context, g *groupsimulator.Group, host *netsimulator.Host) {
	for n := 0; ctx.Err() == nil; {
		id, _ := g.Primary()
		c := connect(ctx, g, host, id)
		if c == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		for ; ctx.Err() == nil; n++ {
			put := messenger.Command{ID: fmt.Sprintf("%s-%d", host.IP, n), Kind: messenger.KindWrite, Text: fmt.Sprintf("PUT k%d v", n)}
			replies, _, err := c.Exchange([]messenger.Command{put}, time.Now().Add(200*time.Millisecond))
			if err != nil || replies[0].Code != messenger.CodeNone {
				break
			}
			time.Sleep(2 * time.Millisecond)
		}
		c.Close()
	}
}

func connect(ctx context.Context, g *groupsimulator.Group, host *netsimulator.Host, id string) *lender.Conn {
	for _, m := range g.Registrations() {
		if m.ID == id {
			dial, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			defer cancel()
			if c, err := lender.Connect(dial, host, platform.LineCodec{}, m, "writer"); err == nil {
				return c
			}
		}
	}
	return nil
}

func (h *harness) leader() string {
	id, _ := h.group.Primary()
	return id
}

// A leaving primary is replaced before it ends.
func TestPrimaryLeaves(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.MarkLeaving("g-1")
		time.Sleep(3 * time.Second)
		must.NotEq(t, "g-1", h.leader())
	})
}

// After a crash of the primary, the new one holds every acknowledged write.
func TestPrimaryCrashes(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.Crash("g-1")
		time.Sleep(3 * time.Second)
		must.NotEq(t, "g-1", h.leader())
		must.NotEq(t, "", h.leader())
	})
}

// Guards against commits acknowledged by a replica that joins during the change but missing on
// the candidate.
func TestReplicaJoinsDuringChange(t *testing.T) {
	for _, after := range []time.Duration{0, 300 * time.Millisecond, 560 * time.Millisecond, 590 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runScenario(t, func(t *testing.T, h *harness) {
				time.Sleep(2 * time.Second)
				ordered := h.notifyOn("promotion-ordered")
				h.group.MarkLeaving("g-1")
				<-ordered
				time.Sleep(after)
				h.group.Join("g-4", "a", "10.9.1.4")
				h.group.SetReplicationDelay("g-4", time.Millisecond)
				time.Sleep(3 * time.Second)
				must.NotEq(t, "g-1", h.leader())
			})
		})
	}
}

// Guards against losing commits that only a replica has acknowledged which the watch of the store
// has not shown yet, or which has not registered yet.
func TestUnseenReplicaAcknowledges(t *testing.T) {
	for name, test := range map[string]struct {
		registryError error
		leaders       []string
		prepare       func(h *harness)
	}{
		"registry read":     {leaders: []string{"g-1", "g-4"}, prepare: func(*harness) {}},
		"store unreachable": {leaders: []string{"g-1"}, prepare: func(*harness) {}, registryError: errors.New("store unreachable")},
		"unseen replica unreachable": {leaders: []string{"g-1"}, prepare: func(h *harness) {
			h.net.Partition("10.8.1.1", "10.9.1.4")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, h *harness) {
				h.setUnseen("g-4", true)
				h.setRegistryError(test.registryError)
				time.Sleep(2 * time.Second)
				h.group.BlockReplication("g-2", "g-1")
				h.group.BlockReplication("g-3", "g-1")
				h.group.Join("g-4", "a", "10.9.1.4")
				test.prepare(h)
				time.Sleep(2 * time.Second)
				h.group.MarkLeaving("g-1")
				time.Sleep(2 * time.Second)
				must.SliceContains(t, test.leaders, h.leader())
			})
		})
	}
}

// Guards against passing over a replica that the watch of the store has not shown yet when the
// primary doesn't respond to the owner, but does to others.
func TestUnseenReplicaBesideSilentPrimary(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		h.setUnseen("g-4", true)
		time.Sleep(2 * time.Second)
		h.group.BlockReplication("g-2", "g-1")
		h.group.BlockReplication("g-3", "g-1")
		h.group.Join("g-4", "a", "10.9.1.4")
		h.net.Partition("10.8.1.1", "10.9.1.1")
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-4", h.leader())
	})
}

// Guards against losing what a primary that other instances reach acknowledges, through a replica that
// joins at any moment of the change, while the owner replaces it because it doesn't respond to the owner.
func TestReplicaJoinsBesideSilentPrimary(t *testing.T) {
	for _, split := range []bool{false, true} {
		for after := 500 * time.Millisecond; after < 2500*time.Millisecond; after += 100 * time.Millisecond {
			t.Run(fmt.Sprint("cut from replicas: ", split, ", joins after ", after), func(t *testing.T) {
				t.Parallel()
				runScenario(t, func(t *testing.T, h *harness) {
					time.Sleep(2 * time.Second)
					if split {
						h.group.BlockReplication("g-2", "g-1")
						h.group.BlockReplication("g-3", "g-1")
					}
					h.net.Partition("10.8.1.1", "10.9.1.1")
					time.Sleep(after)
					h.setUnseen("g-4", true)
					h.setUnregistered("g-4", true)
					h.group.Join("g-4", "a", "10.9.1.4")
					h.group.SetReplicationDelay("g-4", time.Millisecond)
					time.Sleep(90 * time.Millisecond)
					h.setUnregistered("g-4", false)
					time.Sleep(4 * time.Second)
					must.NotEq(t, "g-1", h.leader())
					must.NotEq(t, "", h.leader())
				})
			})
		}
	}
}

// Guards against passing over a replica that isn't known, and holds the only copy of a commit, when
// the primary is lost while the registry can't be read.
func TestPrimaryLostWhileRegistryUnreadable(t *testing.T) {
	crash := func(h *harness) { h.group.Crash("g-1") }
	silence := func(h *harness) { h.net.Partition("10.8.1.1", "10.9.1.1") }
	for name, test := range map[string]struct {
		lose func(h *harness)
		// readable is the number of readings that succeed before the registry can't be read.
		readable int
		// after is how long after the replica has joined the primary is lost.
		after time.Duration
	}{
		"crash":                            {lose: crash, after: 30 * time.Millisecond},
		"crash, later":                     {lose: crash, after: 2 * time.Second},
		"silence":                          {lose: silence, after: 30 * time.Millisecond},
		"crash, registry lost in a change": {lose: crash, after: 30 * time.Millisecond, readable: 1},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, h *harness) {
				h.setUnseen("g-4", true)
				h.setUnregistered("g-4", true)
				time.Sleep(2 * time.Second)
				h.group.BlockReplication("g-2", "g-1")
				h.group.BlockReplication("g-3", "g-1")
				h.group.Join("g-4", "a", "10.9.1.4")
				h.failRegistryAfter(test.readable, errors.New("store unreachable"))
				time.Sleep(test.after)
				test.lose(h)
				time.Sleep(4 * time.Second)
				must.SliceNotContains(t, []string{"g-2", "g-3"}, h.leader())
				h.setUnregistered("g-4", false)
				h.setRegistryError(nil)
				time.Sleep(4 * time.Second)
				must.Eq(t, "g-4", h.leader())
			})
		})
	}
}

// Guards against promoting a stalled replica after the only one that followed has left.
func TestOnlySyncedReplicaLeaves(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.MarkLeaving("g-3")
		h.group.BlockReplication("g-2", "g-1")
		time.Sleep(8 * time.Second)
		h.group.Terminate("g-3")
		time.Sleep(time.Second)
		h.group.MarkLeaving("g-1")
		time.Sleep(4 * time.Second)
		h.group.UnblockReplication("g-2")
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-2", h.leader())
	})
}

// A leaving primary is replaced even if another replica has crashed.
func TestPrimaryLeavesWithReplicaLost(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.Crash("g-3")
		time.Sleep(time.Second)
		h.group.MarkLeaving("g-1")
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-2", h.leader())
	})
}

// Guards against a change undone by the order that fences a previous owner's pending
// promotion.
func TestChangeAfterFencingPendingPromotion(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		h.ownership.update(func() { h.ownership.state.PromotionPending = true })
		time.Sleep(300 * time.Millisecond)
		h.group.MarkLeaving("g-1")
		time.Sleep(5 * time.Second)
		_, term := h.group.Primary()
		must.Eq(t, 2, term)
		must.NotEq(t, "g-1", h.leader())
	})
}

// Guards against an order that got no response and is executed during the next planned change, after
// an order of the same change was answered.
func TestUnansweredOrderDuringNextChange(t *testing.T) {
	for name, unanswered := range map[string][]int{
		"first":                  {1},
		"first two":              {1, 2},
		"first, and first fence": {1, 3},
		"answered in vain":       {2},
		"one in two":             {1, 3, 5, 7, 9},
		"first ten":              {1, 2, 3, 4, 5, 6, 7, 8, 9, 10},
	} {
		for _, after := range []time.Duration{0, 20 * time.Millisecond, 39 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", executed after ", after), func(t *testing.T) {
				t.Parallel()
				runScenario(t, func(t *testing.T, h *harness) {
					orders := 0
					h.mutex.Lock()
					h.holdOrder = func() bool { orders++; return slices.Contains(unanswered, orders) }
					h.mutex.Unlock()
					time.Sleep(2 * time.Second)
					h.group.MarkLeaving("g-1")
					time.Sleep(5 * time.Second)
					second := h.leader()
					must.NotEq(t, "g-1", second)
					_, term := h.group.Primary()
					h.group.Join("g-4", "a", "10.9.1.4")
					h.group.SetReplicationDelay("g-4", time.Millisecond)
					stepped := h.notifyOn("stepped-down")
					h.group.MarkLeaving(second)
					<-stepped
					time.Sleep(after)
					h.executeHeld()
					time.Sleep(8 * time.Second)
					must.NotEq(t, second, h.leader())
					_, last := h.group.Primary()
					must.Eq(t, term+1, last)
				})
			})
		}
	}
}

// Guards against demoting a primary while an order is pending that could not be fenced off so far.
func TestNoDemotionWhileOrderIsPending(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		orders := 0
		var fencedFrom tracker.Timestamp
		h.mutex.Lock()
		h.holdOrder = func() bool { orders++; return orders == 1 || orders > 2 && h.clock() < fencedFrom }
		fencedFrom = h.clock() + 10*time.Second
		h.mutex.Unlock()
		time.Sleep(2 * time.Second)
		h.group.MarkLeaving("g-1")
		time.Sleep(3 * time.Second)
		second, term := h.group.Primary()
		must.NotEq(t, "g-1", second)
		h.group.MarkLeaving(second)
		time.Sleep(4 * time.Second)
		h.executeHeld()
		time.Sleep(10 * time.Second)
		must.NotEq(t, second, h.leader())
		_, last := h.group.Primary()
		must.Eq(t, term+1, last)
	})
}

// Guards against an order without a response that is executed while another attempt to replace a demoted
// primary is under way: a candidate other than the member that leads then would lack its commits.
func TestUnansweredOrderDuringRetry(t *testing.T) {
	for after := 1600 * time.Millisecond; after <= 2400*time.Millisecond; after += 100 * time.Millisecond {
		for run := range 8 {
			newOwner := run%2 == 1
			t.Run(fmt.Sprint("executed after ", after, ", run ", run, ", another owner: ", newOwner), func(t *testing.T) {
				t.Parallel()
				runScenario(t, func(t *testing.T, h *harness) {
					h.mutex.Lock()
					h.holdOrder = func() bool { return true }
					h.mutex.Unlock()
					h.group.Join("g-4", "a", "10.9.1.4")
					h.group.SetReplicationDelay("g-4", time.Millisecond)
					time.Sleep(2 * time.Second)
					ended := h.notifyOn("move-ended")
					h.group.MarkLeaving("g-1")
					<-ended
					h.mutex.Lock()
					h.holdOrder = nil
					h.mutex.Unlock()
					if newOwner {
						h.replaceSupervisor()
					}
					time.Sleep(after)
					h.executeHeld()
					time.Sleep(4 * time.Second)
					must.NotEq(t, "", h.leader())
				})
			})
		}
	}
}

// A lagging replica replaces an overloaded primary, which then serves reads.
func TestLaggingReplicaReplacesOverloadedPrimary(t *testing.T) {
	runScenarioWith(t, &groupsimulator.Group{MaxConnections: 60, StatementTime: 20 * time.Millisecond, Slots: 3, MaxQueued: 48}, func(t *testing.T, s *harness) {
		ctx, cancel := context.WithCancel(t.Context())
		var reading sync.WaitGroup
		s.group.SetApplyLag("g-2", 10*time.Millisecond)
		s.group.SetApplyLag("g-3", 10*time.Second)
		time.Sleep(time.Second)
		for i := range 20 {
			h := s.net.Host(fmt.Sprintf("10.8.2.%d", i+1), "a")
			reading.Go(func() { readLoop(ctx, s.group, h) })
		}
		time.Sleep(3 * time.Second)
		must.Eq(t, "g-3", s.leader())
		cancel()
		reading.Wait()
	})
}

// A lagging replica replaces a primary whose connections are held by idle transactions.
func TestLaggingReplicaReplacesNearlyFullPrimary(t *testing.T) {
	runScenario(t, func(t *testing.T, s *harness) {
		time.Sleep(time.Second)
		s.group.SetApplyLag("g-2", 10*time.Millisecond)
		s.group.SetApplyLag("g-3", 10*time.Second)
		h := s.net.Host("10.8.2.1", "a")
		for range 14 { // 18 of 20 connections, including the writers and the supervisor
			c := connect(t.Context(), s.group, h, "g-1")
			must.NotNil(t, c)
			defer c.Close()
		}
		time.Sleep(3 * time.Second)
		must.Eq(t, "g-3", s.leader())
	})
}

// readLoop reads from the first member until the context ends.
func readLoop(ctx context.Context, g *groupsimulator.Group, h *netsimulator.Host) {
	for _, m := range g.Registrations() {
		if m.ID != "g-1" {
			continue
		}
		c, err := lender.Connect(ctx, h, platform.LineCodec{}, m, "reader")
		if err != nil {
			return
		}
		defer c.Close()
		for ctx.Err() == nil {
			if _, _, err := c.Exchange([]messenger.Command{{ID: "x", Kind: messenger.KindRead, Text: "FETCH k"}}, time.Now().Add(time.Second)); err != nil {
				return
			}
		}
	}
}

// Guards against treating the last status of a busy primary as a proof of its current
// position.
func TestBusyResponseIsNoProof(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.SetStatusBusy("g-1", true)
		time.Sleep(50 * time.Millisecond)
		since := h.clock()
		time.Sleep(500 * time.Millisecond)
		p, ok := h.tracked.NewestProof()
		must.True(t, ok)
		must.Less(t, since, p.At)
		h.group.SetStatusBusy("g-1", false)
		time.Sleep(time.Second)
		p, _ = h.tracked.NewestProof()
		must.Greater(t, since, p.At)
	})
}

// With asynchronous replication, a demoted primary that no replica has caught up with is
// restored.
func TestAsynchronousPrimaryIsRestored(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.synchronous = 0
		h.group.BlockReplication("g-2", "g-1")
		h.group.BlockReplication("g-3", "g-1")
		h.group.MarkLeaving("g-1")
		time.Sleep(3 * time.Second)
		must.Eq(t, "g-1", h.leader())
		h.group.UnblockReplication("g-2")
		h.group.UnblockReplication("g-3")
		time.Sleep(4 * time.Second)
		must.NotEq(t, "g-1", h.leader())
	})
}

// Guards against promoting a replica that lacks acknowledged commits when all others have
// crashed.
func TestPrimaryAndOnlySyncedReplicaCrash(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.BlockReplication("g-2", "g-1")
		time.Sleep(time.Second)
		h.group.Crash("g-3")
		h.group.Crash("g-1")
		time.Sleep(5 * time.Second)
		must.NotEq(t, "g-2", h.leader())
		h.group.Recover("g-3")
		time.Sleep(4 * time.Second)
		must.Eq(t, "g-3", h.leader())
	})
}

// Guards against a promotion without commits that only the primary and a restarted replica
// held.
func TestOnlySyncedReplicaRestarts(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.BlockReplication("g-2", "g-1")
		time.Sleep(time.Second)
		h.group.BlockReplication("g-3", "g-1")
		h.group.Restart("g-3")
		h.group.Crash("g-1")
		time.Sleep(5 * time.Second)
		must.Eq(t, "g-1", h.leader())
		h.group.UnblockReplication("g-2")
		h.group.UnblockReplication("g-3")
		h.group.Recover("g-1")
		time.Sleep(4 * time.Second)
		must.NotEq(t, "", h.leader())
	})
}

// Guards against the same while another writer's later start time is known for the replica.
func TestReplicaWithDisputedStartRestarts(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		h.setKnownStart("g-3", time.Now().Add(time.Hour).UnixMilli())
		time.Sleep(2 * time.Second)
		h.group.BlockReplication("g-2", "g-1")
		time.Sleep(time.Second)
		h.group.BlockReplication("g-3", "g-1")
		h.group.Restart("g-3")
		h.group.Crash("g-1")
		time.Sleep(5 * time.Second)
		must.Eq(t, "g-1", h.leader())
	})
}

// Guards against a state that stays lost for later owners because it hasn't changed.
func TestLostStateIsRecordedAgain(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(3 * time.Second)
		recorded := func() int {
			return len(slices.DeleteFunc(h.loggedEvents(), func(e string) bool { return !strings.Contains(e, "event roster") }))
		}
		before := recorded()
		time.Sleep(3 * time.Second)
		must.Eq(t, before, recorded())
		h.stateLost.Store(true)
		time.Sleep(3 * time.Second)
		must.Greater(t, before, recorded())
	})
}

// Guards against ignoring the log of an excluded member that has returned.
func TestExcludedMemberReturns(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.MarkLeaving("g-3")
		time.Sleep(500 * time.Millisecond)
		h.group.Terminate("g-3")
		time.Sleep(2 * time.Second)
		h.group.StartEmpty("g-3")
		time.Sleep(2 * time.Second)
		h.group.BlockReplication("g-2", "g-1")
		time.Sleep(time.Second)
		h.group.Crash("g-1")
		time.Sleep(5 * time.Second)
		must.Eq(t, "g-3", h.leader())
	})
}

// Guards against commits acknowledged by a paused replica whose restart during the change ends
// its pause.
func TestPausedReplicaRestarts(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		ordered := h.notifyOn("promotion-ordered")
		h.mutex.Lock()
		h.peersUnreachable = true
		h.mutex.Unlock()
		h.net.Partition("10.8.1.1", "10.9.1.1")
		<-ordered
		id := h.group.Paused()[0]
		h.group.Restart(id)
		h.group.SetReplicationDelay(id, time.Millisecond)
		time.Sleep(6 * time.Second)
		must.NotEq(t, "g-1", h.leader())
	})
}

// Guards against a group left without a primary when the candidate restarts after the old
// primary has stepped down, also under a new owner.
func TestCandidateRestarts(t *testing.T) {
	for _, newOwner := range []bool{false, true} {
		t.Run(fmt.Sprint("another owner: ", newOwner), func(t *testing.T) {
			runScenario(t, func(t *testing.T, h *harness) {
				time.Sleep(2 * time.Second)
				ordered := h.notifyOn("promotion-ordered")
				h.group.MarkLeaving("g-1")
				<-ordered
				h.group.BlockReplication("g-2", "g-1")
				h.group.BlockReplication("g-3", "g-1")
				h.group.CancelLeaving("g-1")
				id := "g-2"
				if h.logged("promotion-ordered group g member g-3") {
					id = "g-3"
				}
				h.group.Restart(id)
				if newOwner {
					time.Sleep(time.Second)
					h.replaceSupervisor()
				}
				time.Sleep(8 * time.Second)
				must.NotEq(t, "", h.leader())
				h.group.UnblockReplication("g-2")
				h.group.UnblockReplication("g-3")
			})
		})
	}
}

// Guards against treating busy replicas as stalled.
func TestBusyReplicasAreNotStalled(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.group.SetStatusBusy("g-2", true)
		h.group.SetStatusBusy("g-3", true)
		time.Sleep(4 * time.Second)
		h.assertPrimaryUnchanged(t)
	})
}

// assertPrimaryUnchanged asserts that the first primary is still in its first term.
func (h *harness) assertPrimaryUnchanged(t *testing.T) {
	t.Helper()
	id, term := h.group.Primary()
	must.Eq(t, "g-1", id)
	must.Eq(t, 1, term)
}

// Guards against a change whose reason clears during a slow store call.
func TestReasonClearsBeforeFencing(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		h.ownership.update(func() { h.ownership.delay = time.Second })
		begins := h.notifyOn("move-begins")
		h.group.Crash("g-1")
		<-begins
		h.group.Recover("g-1")
		time.Sleep(4 * time.Second)
		h.assertPrimaryUnchanged(t)
	})
}

// Guards against a group left without a primary when a change fails after the old primary has
// stepped down.
func TestChangeFailsAfterStepDown(t *testing.T) {
	runScenario(t, func(t *testing.T, h *harness) {
		time.Sleep(2 * time.Second)
		stepped := h.notifyOn("stepped-down")
		h.group.SetStatusBusy("g-2", true)
		h.group.SetStatusBusy("g-3", true)
		h.group.MarkLeaving("g-1")
		<-stepped
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, "g-1", h.leader())
	})
}
