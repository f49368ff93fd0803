package launcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/launcher"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/logwriter"
	"github.com/oriolegw/oriolegw/internal/standin/groupsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// baseRoutes are in every configuration; addedRoute is in some.
var (
	baseRoutes = []tracker.Route{
		{Database: "strict", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second, LatencyObjective: 400 * time.Millisecond},
		{Database: "own", Group: "g", Rule: tracker.RuleReadYourWrites, Timeout: time.Second, LatencyObjective: 800 * time.Millisecond, Staleness: 2500 * time.Millisecond},
	}
	addedRoute = tracker.Route{Database: "added", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second}
)

type (
	// fleet is a simulated platform and group, with instances under test.
	fleet struct {
		t       *testing.T
		net     *netsimulator.Net
		store   *storer.Memory
		group   *groupsimulator.Group
		ctx     context.Context
		running sync.WaitGroup
		log     lockedBuffer
		callers atomic.Int64
		version int64
		// noPromotions keeps new instances from acquiring failover leases.
		noPromotions bool
		// coldStart tells new instances that the whole fleet starts for the first time.
		coldStart bool
		// extraGroups is the number of further groups in the configuration, which have no members.
		extraGroups int
		platform    *platformer.Platform
		// customers are those in force, nil where clients are not assigned to customers.
		customers []platformer.Customer
		// ran, when set, records the operations that soak clients have run.
		ran *operationLog
		// cores, when set, returns an instance's CPU limit, and processorTime what it has used.
		cores         func(ip string) float64
		processorTime func(ip string) time.Duration
		// memberAddress, when set, returns the address at which instances reach a member.
		memberAddress func(tracker.Member) string
		// registrationDelay is the time in nanoseconds from a member's start to its first entry.
		registrationDelay atomic.Int64
		// logEvents, when set, are the events whose lines are printed on failure, else all lines are.
		logEvents []string
	}

	instance struct {
		shutdown chan os.Signal
		// reload triggers a reload of the settings, which returns nextSettings.
		reload       chan os.Signal
		nextSettings atomic.Pointer[loader.EdgeSettings]
		host         *netsimulator.Host
		exited       chan error
		// kill stops the instance without a graceful shutdown.
		kill context.CancelFunc
	}

	lockedBuffer struct {
		mutex sync.Mutex
		text  strings.Builder
	}
)

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.String()
}

// runFleet runs a scenario on virtual time with a platform and a group.
func runFleet(t *testing.T, scenario func(f *fleet)) {
	t.Helper()
	runFleetWith(t, func(*groupsimulator.Group) {}, scenario)
}

// runFleetWith is runFleet with additional setup of the group.
func runFleetWith(t *testing.T, prepare func(*groupsimulator.Group), scenario func(f *fleet)) {
	t.Helper()
	runFleetUnchecked(t, prepare, func(f *fleet) {
		scenario(f)
		must.SliceEmpty(f.t, f.group.Violations())
	})
}

// runFleetUnchecked is runFleetWith for scenarios that check by the callers' responses what was lost:
// a commit that the primary acknowledged may be lost if no caller was told so.
func runFleetUnchecked(t *testing.T, prepare func(*groupsimulator.Group), scenario func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := netsimulator.New(1)
		n.Latency = func(_, _ *netsimulator.Host) time.Duration { return time.Millisecond }
		f := &fleet{t: t, net: n, ctx: ctx, store: storer.NewMemory(), group: &groupsimulator.Group{
			Name: "g", Net: n, ReplicationDelay: 2 * time.Millisecond, PromotionDelay: 600 * time.Millisecond, MaxConnections: 12, StatementTime: 5 * time.Millisecond,
		}}
		prepare(f.group)
		f.group.Start(ctx, "a", "b", "c")
		f.platform = &platformer.Platform{Address: "10.6.0.1:7000", Network: n.Host("10.6.0.1", "a"), Store: f.store, Promote: func(_, id string) error { return f.group.Promote(id) }}
		f.running.Go(func() { _ = f.platform.Run(ctx) })
		f.running.Go(func() { f.registerMembers(ctx) })
		f.configure()
		defer func() {
			cancel()
			f.running.Wait()
			f.group.Wait()
			time.Sleep(time.Minute) // lets connections of HTTP clients time out
			if t.Failed() {
				t.Log(f.logLines())
			}
		}()
		scenario(f)
	})
}

// logLines returns the instances' log lines, only those of logEvents if it is set.
func (f *fleet) logLines() string {
	var lines []string
	for line := range strings.Lines(f.log.String()) {
		isListed := func(event string) bool { return strings.Contains(line, " event="+event+" ") }
		if f.logEvents == nil || slices.ContainsFunc(f.logEvents, isListed) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// registerMembers keeps the members' store entries up to date until the context is canceled.
func (f *fleet) registerMembers(ctx context.Context) {
	entries := map[string]storer.Pair{}
	for n := 0; ctx.Err() == nil; n++ {
		if n%entryRefreshPolls == 0 {
			f.refreshEntries(ctx, entries)
		}
		seen := map[string]bool{}
		for _, m := range f.group.Registrations() {
			if time.Since(time.UnixMilli(m.StartTime)) < time.Duration(f.registrationDelay.Load()) {
				continue
			}
			if f.memberAddress != nil {
				m.Address = f.memberAddress(m)
			}
			value := platformer.EncodeMember(m)
			key := platform.MemberPrefix + m.ID
			seen[key] = true
			if string(entries[key].Value) == string(value) {
				continue
			}
			if p, ok, err := f.store.Swap(ctx, storer.Pair{Key: key, Value: value, Revision: entries[key].Revision}, 0); err == nil && ok {
				entries[key] = p
			} else if now, err := f.store.Get(ctx, key); err == nil {
				entries[key] = now
			}
		}
		for key, p := range entries {
			if seen[key] {
				continue
			}
			if ok, err := f.store.Delete(ctx, p); err == nil && ok {
				delete(entries, key)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// entryRefreshPolls is the number of polls of the group after which the members' entries are
// restored if another writer has changed them.
const entryRefreshPolls = 60

// refreshEntries reads the current entries under the members' keys.
func (f *fleet) refreshEntries(ctx context.Context, entries map[string]storer.Pair) {
	for key := range entries {
		if now, err := f.store.Get(ctx, key); err == nil {
			entries[key] = now
		}
	}
}

// configure publishes a configuration with baseRoutes and more.
func (f *fleet) configure(more ...tracker.Route) {
	f.version += 7
	c := tracker.Configuration{
		Version: f.version, TransactionIdleTimeout: 3 * time.Second, Routes: map[string]tracker.Route{},
		Groups: map[string]tracker.GroupSettings{"g": {Connections: 12, SyncReplicas: 1}},
	}
	for _, r := range slices.Concat(baseRoutes, more) {
		c.Routes[r.Database] = r
	}
	f.addExtraGroups(&c)
	old, err := f.store.Get(f.ctx, platform.ConfigurationKey)
	must.NoError(f.t, err)
	old.Value = platformer.EncodeConfiguration(c, f.customers...)
	_, ok, err := f.store.Swap(f.ctx, old, 0)
	must.NoError(f.t, err)
	must.True(f.t, ok)
}

// addExtraGroups adds extraGroups to a configuration.
func (f *fleet) addExtraGroups(c *tracker.Configuration) {
	for n := range f.extraGroups {
		name := fmt.Sprint("extra-", n)
		c.Groups[name] = tracker.GroupSettings{Connections: 12, SyncReplicas: 1}
		c.Routes[name] = tracker.Route{Database: name, Group: name, Rule: tracker.RulePrimary, Timeout: time.Second}
	}
}

func (f *fleet) settings(ip, zone string) *loader.EdgeSettings {
	return &loader.EdgeSettings{
		Name: "entry-" + ip, Zone: zone, Regions: map[string]string{"a": "x", "b": "y", "c": "z"},
		Callers: ip + ":5000", ReadinessAddress: ip + ":5001", MetricsAddress: ip + ":5002", PeerAddress: ip + ":5003", StoreAddress: "10.6.0.1:7000", PromotionAddress: "10.6.0.1:7000", ShutdownTimeout: 6 * time.Second, MaxApplyDelay: 3 * time.Second,
		LimitTolerance: loader.DefaultLimitTolerance, ColdStart: f.coldStart,
	}
}

func (f *fleet) start(ip, zone string) *instance {
	ctx, kill := context.WithCancel(f.ctx)
	i := &instance{shutdown: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), host: f.net.Host(ip, zone), exited: make(chan error, 1), kill: kill}
	s := f.settings(ip, zone)
	if f.noPromotions {
		s.PromotionAddress = ""
	}
	var processorTime func() time.Duration
	if f.processorTime != nil {
		s.Cores = f.cores(ip)
		processorTime = func() time.Duration { return f.processorTime(ip) }
	}
	store := (&platform.Store{Address: s.StoreAddress, Network: i.host}).Open()
	promotions := (&platform.PromotionClient{Address: s.PromotionAddress, Network: i.host, LeaseHolder: s.Name}).Open()
	logs := logwriter.New(&f.log)
	started := time.Now().Add(-time.Hour)
	x := &launcher.Instance{
		Settings: s, Network: i.host, LogWriter: logs, Clock: func() tracker.Timestamp { return time.Since(started) }, Shutdown: i.shutdown,
		Reload: i.reload, LoadSettings: i.loadSettings, ProcessorTime: processorTime,
		Platform: launcher.Platform{
			Store: store, Promote: promotions.Promote, IsPromotionRefused: func(err error) bool { return errors.Is(err, platform.ErrPromotionRefused) },
			MemberCodec: platform.LineCodec{}, CallerCodec: platform.LineCodec{},
			ConfigurationKey: platform.ConfigurationKey, MemberPrefix: platform.MemberPrefix,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeMember: platform.DecodeMember,
		},
	}
	f.running.Go(func() { _ = logs.Run(f.ctx) })
	f.running.Go(func() {
		defer kill()
		i.exited <- x.Run(ctx)
		store.Close()
	})
	return i
}

// loadSettings returns nextSettings; nil simulates invalid settings.
func (i *instance) loadSettings() (*loader.EdgeSettings, error) {
	if s := i.nextSettings.Load(); s != nil {
		return s, nil
	}
	return nil, errors.New("settings: name is missing")
}

// dial connects from the instance's host.
func (i *instance) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return i.host.Dial(ctx, address)
}

func (f *fleet) readyStatus(i *instance) int {
	h := &http.Client{Transport: &http.Transport{DialContext: i.dial, DisableKeepAlives: true}}
	a, err := h.Get("http://" + i.host.IP + ":5001/ready")
	must.NoError(f.t, err)
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// openSession opens a session and returns a function that runs a statement in it. The result
// has the rows or the error code and the session's state, or is "closed".
func (f *fleet) openSession(i *instance, database string) func(text string) string {
	return f.openSessionWithKey(i, database, "me")
}

// openSessionWithKey is openSession with a customer's key.
func (f *fleet) openSessionWithKey(i *instance, database, key string) func(text string) string {
	caller := f.callers.Add(1)
	conn, err := f.net.Host(fmt.Sprintf("10.7.0.%d", caller), "a").Dial(f.ctx, i.host.IP+":5000")
	must.NoError(f.t, err)
	in := bufio.NewReader(conn)
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	line, err := in.ReadString('\n')
	must.NoError(f.t, err)
	if strings.HasPrefix(line, "ERROR") {
		return func(string) string { return strings.Fields(line)[1] }
	}
	n, name := 0, fmt.Sprintf("c%d", caller)
	return func(text string) string {
		n++
		fmt.Fprintf(conn, "QUERY %s-%d %s\r\n", name, n, text)
		var words []string
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return "closed"
			}
			f := strings.Fields(line)
			switch f[0] {
			case "DATAROW", "ERROR":
				words = append(words, f[1])
			case "READY":
				return strings.Join(append(words, f[1]), " ")
			}
		}
	}
}

// A write through one instance must be visible through another, and routes must be added and
// removed promptly.
func TestServe(t *testing.T) {
	runFleet(t, func(f *fleet) {
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "b")
		time.Sleep(3 * time.Second)
		must.Eq(t, http.StatusOK, f.readyStatus(a))
		must.Eq(t, "I", f.openSession(a, "strict")("PUT k v"))
		must.Eq(t, "v I", f.openSession(b, "strict")("FETCH k"))
		must.Eq(t, "NODB", f.openSession(a, "added")("FETCH k"))
		f.configure(addedRoute)
		time.Sleep(time.Second)
		must.Eq(t, "v I", f.openSession(b, "added")("FETCH k"))
		f.configure()
		time.Sleep(time.Second)
		must.Eq(t, "NODB", f.openSession(b, "added")("FETCH k"))
	})
}

// A reload must log which settings changed, or why they are rejected, and must not disturb
// open sessions and transactions.
func TestReload(t *testing.T) {
	runFleet(t, func(f *fleet) {
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		query := f.openSession(i, "strict")
		must.Eq(t, "I", query("PUT k v"))
		s := f.settings(i.host.IP, "a")
		for _, shutdown := range []time.Duration{s.ShutdownTimeout, 2 * s.ShutdownTimeout} {
			changed := *s
			changed.ShutdownTimeout = shutdown
			i.nextSettings.Store(&changed)
			i.reload <- syscall.SIGHUP
			time.Sleep(time.Second)
			must.Eq(t, "v I", query("FETCH k"))
		}
		open := f.openSession(i, "strict")
		must.Eq(t, "T", open("BEGIN"))
		must.Eq(t, "T", open("PUT k w"))
		i.nextSettings.Store(nil)
		for range 3 {
			i.reload <- syscall.SIGHUP
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, "I", open("COMMIT"))
		must.Eq(t, "w I", query("FETCH k"))
		must.StrContains(t, f.log.String(), `settings="rejected, current settings stay in force" cause="settings: name is missing"`)
		must.StrContains(t, f.log.String(), "keys=shutdown-s callers=1")
		must.StrContains(t, f.log.String(), "event=reload signal=hangup settings=unchanged")
		must.StrContains(t, f.log.String(), `event=reload signal=hangup settings="changed, in force from the next start"`)
	})
}

// After the primary crashes, writes must succeed within 2.5 s on a promoted replica that has
// all acknowledged writes.
func TestPrimaryFailover(t *testing.T) {
	runFleet(t, func(f *fleet) {
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		query := f.openSession(i, "strict")
		must.Eq(t, "I", query("PUT k v"))
		f.group.Crash("g-1")
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, "I", query("PUT k2 v"))
		must.Eq(t, "v I", query("FETCH k"))
	})
}

// A configuration published while the store loses its history or is unavailable must be in
// force soon afterwards.
func TestStoreFailures(t *testing.T) {
	t.Run("history lost", func(t *testing.T) {
		runFleet(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			f.configure(addedRoute)
			f.store.Compact()
			time.Sleep(time.Second)
			must.Eq(t, "none I", f.openSession(i, "added")("FETCH k"))
		})
	})
	t.Run("unavailable", func(t *testing.T) {
		runFleet(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			f.configure(addedRoute)
			f.store.SetFaults(func(x *storer.Faults) { x.Down = true })
			time.Sleep(5 * time.Second)
			must.Eq(t, "I", f.openSession(i, "strict")("PUT k v"))
			f.store.SetFaults(func(x *storer.Faults) { x.Down = false })
			time.Sleep(time.Second)
			must.Eq(t, "v I", f.openSession(i, "added")("FETCH k"))
		})
	})
}

// Bounded reads must be served while stale connections fill the primary, based on the
// positions of the replicas alone.
func TestBoundedReadsWhilePrimaryIsFull(t *testing.T) {
	runFleet(t, func(f *fleet) {
		old := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.openSession(old, "strict")("PUT k v"))
		for range 2 { // the old instance closes its idle connections in between
			for n := range 12 {
				conn, err := f.net.Host(fmt.Sprintf("10.4.0.%d", n+1), "a").Dial(f.ctx, "10.9.1.1"+groupsimulator.Port)
				must.NoError(t, err)
				fmt.Fprintf(conn, "STARTUP g ghost g-1\r\n")
			}
			time.Sleep(6 * time.Second)
		}
		fresh := f.start("10.5.0.2", "b")
		time.Sleep(2 * time.Second)
		must.Eq(t, "v I", f.openSession(fresh, "own")("FETCH k"))
		must.Eq(t, "BUSY I", f.openSession(fresh, "strict")("FETCH k"))
	})
}

// A graceful shutdown must report not ready at once, serve statements until the load
// balancer stops sending, let an open transaction commit, and finish in time.
func TestGracefulShutdown(t *testing.T) {
	runFleet(t, func(f *fleet) {
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		idle, open := f.openSession(i, "strict"), f.openSession(i, "strict")
		must.Eq(t, "T", open("BEGIN"))
		must.Eq(t, "T", open("PUT k v"))
		started := time.Now()
		i.shutdown <- syscall.SIGTERM
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, http.StatusServiceUnavailable, f.readyStatus(i))
		must.Eq(t, "none I", idle("FETCH other"))
		time.Sleep(2300 * time.Millisecond)
		must.Eq(t, "closed", idle("FETCH k"))
		must.Eq(t, "I", open("COMMIT"))
		must.NoError(t, <-i.exited)
		must.Less(t, 6*time.Second, time.Since(started))
	})
}

// An instance must have closed all its listeners when Run returns.
func TestRestartOnSameAddresses(t *testing.T) {
	runFleet(t, func(f *fleet) {
		for range 5 {
			i := f.start("10.5.0.1", "a")
			time.Sleep(2 * time.Second)
			must.Eq(t, http.StatusOK, f.readyStatus(i))
			i.shutdown <- syscall.SIGTERM
			must.NoError(t, <-i.exited)
		}
	})
}

// A replica that has lost its log may have been the only one to acknowledge a write. While the
// primary is unreachable, reads must be refused once the staleness bound has passed.
func TestReplicaDataLossWithoutPrimary(t *testing.T) {
	runFleet(t, func(f *fleet) {
		f.noPromotions = true
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "b")
		time.Sleep(3 * time.Second)
		strict, own := f.openSession(a, "strict"), f.openSession(b, "own")
		must.Eq(t, "I", strict("PUT k old"))
		time.Sleep(time.Second)
		must.Eq(t, "old I", own("FETCH k"))
		f.group.BlockReplication("g-2", "g-1")
		must.Eq(t, "I", strict("PUT k new"))
		f.group.BlockReplication("g-3", "g-1")
		f.group.Restart("g-3")
		f.net.Partition("10.5.0.2", "10.9.1.1")
		f.net.Partition("10.5.0.2", "10.5.0.1")
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			own("FETCH k")
		}
		must.StrContains(t, f.openSession(b, "own")("FETCH k"), "BUSY")
	})
}

// An instance that starts while it can't reach the store must get the configuration, the
// members and the primary from a peer, and later changes within three seconds.
func TestStartWithoutStore(t *testing.T) {
	runFleet(t, func(f *fleet) {
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.openSession(a, "strict")("PUT k v"))
		b.kill()
		<-b.exited
		f.net.Partition("10.5.0.2", "10.6.0.1")
		b = f.start("10.5.0.2", "a")
		time.Sleep(time.Second)
		must.Eq(t, http.StatusOK, f.readyStatus(b))
		must.Eq(t, "v I", f.openSession(b, "strict")("FETCH k"))
		f.configure(addedRoute)
		time.Sleep(2900 * time.Millisecond)
		must.Eq(t, "v I", f.openSession(b, "added")("FETCH k"))
	})
}

// When all instances restart and one can't reach the store, the others must find it by its
// record in the store and send it the configuration.
func TestFleetRestartOneWithoutStore(t *testing.T) {
	runFleet(t, func(f *fleet) {
		ips := []string{"10.5.0.1", "10.5.0.2", "10.5.0.3"}
		var all []*instance
		for _, ip := range ips {
			all = append(all, f.start(ip, "a"))
		}
		time.Sleep(3 * time.Second)
		for _, i := range all {
			i.kill()
			<-i.exited
		}
		f.net.Partition("10.5.0.3", "10.6.0.1")
		var last *instance
		for _, ip := range ips {
			last = f.start(ip, "a")
		}
		time.Sleep(time.Second)
		must.Eq(t, http.StatusOK, f.readyStatus(last))
		must.Eq(t, "I", f.openSession(last, "strict")("PUT k v"))
	})
}

// Connections on which a response was lost must be closed at the statement's timeout, so that
// they don't use up the member's connection limit.
func TestLostResponsesReleaseConnections(t *testing.T) {
	runFleet(t, func(f *fleet) {
		a := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		f.group.DropReadResponses("g-1", 10)
		var callers sync.WaitGroup
		for range 5 {
			query := f.openSession(a, "strict")
			callers.Go(func() { query("FETCH k") })
		}
		callers.Wait()
		time.Sleep(600 * time.Millisecond)
		must.LessEq(t, 3, f.group.OpenConnections("g-1")) // one retained, one spare, one for failover checks
	})
}

// Guards against a promotion order that is executed after all instances have lost power: commits
// acknowledged since then would be lost.
func TestLateOrderAfterLossOfAllInstances(t *testing.T) {
	runFleet(t, func(f *fleet) {
		var late atomic.Bool
		ordered := make(chan string, 8)
		f.platform.DelayPromotion = func(member string) time.Duration {
			if !late.Load() {
				return 0
			}
			ordered <- member
			return 9 * time.Second
		}
		addresses := map[string]string{"10.5.0.1": "a", "10.5.0.2": "b", "10.5.0.3": "c"}
		var all []*instance
		startAll := func() {
			all = nil
			for ip, zone := range addresses {
				all = append(all, f.start(ip, zone))
			}
			time.Sleep(3 * time.Second)
		}
		startAll()
		must.Eq(t, "I", f.openSession(all[0], "strict")("PUT k before"))
		late.Store(true)
		f.group.Crash("g-1")
		candidate := <-ordered
		for _, i := range all {
			i.kill()
			<-i.exited
		}
		late.Store(false)
		f.store.ExpireLeases()
		f.group.Recover("g-1")
		time.Sleep(time.Second)
		startAll()
		f.group.BlockReplication(candidate, "g-1")
		must.Eq(t, "I", f.openSession(all[0], "strict")("PUT k after"))
		time.Sleep(8 * time.Second)
		must.Eq(t, "after I", f.openSession(all[0], "strict")("FETCH k"))
	})
}
