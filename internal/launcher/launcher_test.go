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
	"github.com/oriolegw/oriolegw/internal/journaler"
	"github.com/oriolegw/oriolegw/internal/launcher"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/standin/liner"
	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
	"github.com/shoenig/test/must"
)

// routes are there in every version; added is in some.
var (
	routes = []tracker.Route{
		{Database: "strict", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second, LatencyObjective: 400 * time.Millisecond},
		{Database: "own", Group: "g", Rule: tracker.RuleReadYourWrites, Timeout: time.Second, LatencyObjective: 800 * time.Millisecond, Staleness: 2500 * time.Millisecond},
	}
	added = tracker.Route{Database: "added", Group: "g", Rule: tracker.RulePrimary, Timeout: time.Second}
)

type (
	// fleet is a platform, a group and some instances.
	fleet struct {
		t        *testing.T
		net      *wirer.Net
		store    *storer.Memory
		group    *liner.Group
		ctx      context.Context
		running  sync.WaitGroup
		log      lockedBuffer
		callers  atomic.Int64
		versions int64
		// dutiless instances never take a duty.
		dutiless bool
		// customers are those in force, nil where callers are not told apart.
		customers []platformer.Customer
		// address, when set, gives a member's address as instances reach it.
		address func(tracker.Member) string
	}

	instance struct {
		leave chan os.Signal
		// reload tells it that its settings may have changed; next is what it reads then.
		reload chan os.Signal
		next   atomic.Pointer[loader.EntrySettings]
		host   *wirer.Host
		ended  chan error
		// kill ends it at once.
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

// play runs a platform and a group, and what happens to them.
func play(t *testing.T, happens func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		n := wirer.New(1)
		n.Latency = func(_, _ *wirer.Host) time.Duration { return time.Millisecond }
		f := &fleet{t: t, net: n, ctx: ctx, store: storer.NewMemory(), group: &liner.Group{
			Name: "g", Net: n, Travel: 2 * time.Millisecond, Promotion: 600 * time.Millisecond, Connections: 12, Work: 5 * time.Millisecond,
		}}
		f.group.Start(ctx, "a", "b", "c")
		p := &platformer.Platform{Address: "10.6.0.1:7000", Network: n.Host("10.6.0.1", "a"), Store: f.store, Promote: func(_, id string) error { return f.group.Promote(id) }}
		f.running.Go(func() { _ = p.Run(ctx) })
		f.running.Go(func() { f.register(ctx) })
		f.configure()
		defer func() {
			cancel()
			f.running.Wait()
			f.group.Wait()
			time.Sleep(time.Minute) // connections of HTTP clients run out
			if t.Failed() {
				t.Log(f.log.String())
			}
		}()
		happens(f)
		must.SliceEmpty(t, f.group.Violations())
	})
}

// register keeps the members' entries in the store as they are.
func (f *fleet) register(ctx context.Context) {
	held := map[string]storer.Pair{}
	for n := 0; ctx.Err() == nil; n++ {
		if n%heartbeat == 0 {
			f.reread(ctx, held)
		}
		seen := map[string]bool{}
		for _, m := range f.group.Registered() {
			if f.address != nil {
				m.Address = f.address(m)
			}
			value := platformer.Entry(m)
			key := platform.PrefixMembers + m.ID
			seen[key] = true
			if string(held[key].Value) == string(value) {
				continue
			}
			if p, ok, err := f.store.Swap(ctx, storer.Pair{Key: key, Value: value, Revision: held[key].Revision}, 0); err == nil && ok {
				held[key] = p
			} else if now, err := f.store.Get(ctx, key); err == nil {
				held[key] = now
			}
		}
		for key, p := range held {
			if seen[key] {
				continue
			}
			if ok, err := f.store.Delete(ctx, p); err == nil && ok {
				delete(held, key)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heartbeat is after how many looks at the group each member writes its entry whatever
// stands there: each is 20 ms.
const heartbeat = 60

// reread takes in what others have written under the members' keys.
func (f *fleet) reread(ctx context.Context, held map[string]storer.Pair) {
	for key := range held {
		if now, err := f.store.Get(ctx, key); err == nil {
			held[key] = now
		}
	}
}

// configure publishes a version with the usual routes and more.
func (f *fleet) configure(more ...tracker.Route) {
	f.versions += 7
	c := tracker.Configuration{
		Version: f.versions, TransactionIdle: 3 * time.Second, Routes: map[string]tracker.Route{},
		Groups: map[string]tracker.GroupSettings{"g": {Connections: 12, SyncReplicas: 1}},
	}
	for _, r := range slices.Concat(routes, more) {
		c.Routes[r.Database] = r
	}
	old, err := f.store.Get(f.ctx, platform.KeyConfiguration)
	must.NoError(f.t, err)
	old.Value = platformer.Configuration(c, f.customers...)
	_, ok, err := f.store.Swap(f.ctx, old, 0)
	must.NoError(f.t, err)
	must.True(f.t, ok)
}

func (f *fleet) settings(ip, zone string) *loader.EntrySettings {
	return &loader.EntrySettings{
		Name: "entry-" + ip, Zone: zone, Regions: map[string]string{"a": "x", "b": "y", "c": "z"},
		Callers: ip + ":5000", Ready: ip + ":5001", Metrics: ip + ":5002", Peers: ip + ":5003", Store: "10.6.0.1:7000", Promotions: "10.6.0.1:7000", Shutdown: 6 * time.Second, InForce: 3 * time.Second,
		Limits: loader.DefaultLimits,
	}
}

func (f *fleet) start(ip, zone string) *instance {
	ctx, kill := context.WithCancel(f.ctx)
	i := &instance{leave: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), host: f.net.Host(ip, zone), ended: make(chan error, 1), kill: kill}
	s := f.settings(ip, zone)
	if f.dutiless {
		s.Promotions = ""
	}
	store := (&platform.Store{Address: s.Store, Network: i.host}).Open()
	promotions := (&platform.Promotions{Address: s.Promotions, Network: i.host, Holder: s.Name}).Open()
	journal := journaler.New(&f.log)
	begin := time.Now().Add(-time.Hour)
	x := &launcher.Instance{
		Settings: s, Network: i.host, Journal: journal, Clock: func() tracker.Timestamp { return time.Since(begin) }, Leave: i.leave,
		Reload: i.reload, Reread: i.reread,
		Platform: launcher.Platform{
			Store: store, Promote: promotions.Promote, PromoteRefused: func(err error) bool { return errors.Is(err, platform.ErrRefused) },
			MemberCodec: platform.Lines{}, CallerCodec: platform.Lines{},
			ConfigurationKey: platform.KeyConfiguration, MemberPrefix: platform.PrefixMembers,
			DecodeConfiguration: platform.DecodeConfiguration, DecodeMember: platform.DecodeMember,
		},
	}
	f.running.Go(func() { _ = journal.Run(f.ctx) })
	f.running.Go(func() {
		defer kill()
		i.ended <- x.Run(ctx)
		store.Close()
	})
	return i
}

// ready asks the balancer's question.
// reread reads the settings as next has them; none stand for a file with a mistake.
func (i *instance) reread() (*loader.EntrySettings, error) {
	if s := i.next.Load(); s != nil {
		return s, nil
	}
	return nil, errors.New("settings: name is missing")
}

// dial connects from the instance's own host.
func (i *instance) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return i.host.Dial(ctx, address)
}

func (f *fleet) ready(i *instance) int {
	h := &http.Client{Transport: &http.Transport{DialContext: i.dial, DisableKeepAlives: true}}
	a, err := h.Get("http://" + i.host.IP + ":5001/ready")
	must.NoError(f.t, err)
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

// call opens a session and returns how statements are asked in it.
func (f *fleet) call(i *instance, database string) func(text string) string {
	return f.callWith(i, database, "me")
}

// callWith is call with a key.
func (f *fleet) callWith(i *instance, database, key string) func(text string) string {
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

// Two instances start, one serves a write and the other shows it; a route that is
// added is there within the users' three seconds, and one that is taken away is not.
func TestServe(t *testing.T) {
	play(t, func(f *fleet) {
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "b")
		time.Sleep(3 * time.Second)
		must.Eq(t, http.StatusOK, f.ready(a))
		must.Eq(t, "I", f.call(a, "strict")("PUT k v"))
		must.Eq(t, "v I", f.call(b, "strict")("FETCH k"))
		must.Eq(t, "NODB", f.call(a, "added")("FETCH k"))
		f.configure(added)
		time.Sleep(time.Second)
		must.Eq(t, "v I", f.call(b, "added")("FETCH k"))
		f.configure()
		time.Sleep(time.Second)
		must.Eq(t, "NODB", f.call(b, "added")("FETCH k"))
	})
}

// The settings may have changed: the process is told twice, and they have the second time.
// The log says so each time, and names what changed; a caller in the middle of a session or
// a transaction notices nothing, also of a file with a mistake in it.
func TestReload(t *testing.T) {
	play(t, func(f *fleet) {
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		ask := f.call(i, "strict")
		must.Eq(t, "I", ask("PUT k v"))
		s := f.settings(i.host.IP, "a")
		for _, shutdown := range []time.Duration{s.Shutdown, 2 * s.Shutdown} {
			changed := *s
			changed.Shutdown = shutdown
			i.next.Store(&changed)
			i.reload <- syscall.SIGHUP
			time.Sleep(time.Second)
			must.Eq(t, "v I", ask("FETCH k"))
		}
		open := f.call(i, "strict")
		must.Eq(t, "T", open("BEGIN"))
		must.Eq(t, "T", open("PUT k w"))
		i.next.Store(nil)
		for range 3 {
			i.reload <- syscall.SIGHUP
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, "I", open("COMMIT"))
		must.Eq(t, "w I", ask("FETCH k"))
		must.StrContains(t, f.log.String(), `settings="rejected, those in force stay" cause="settings: name is missing"`)
		must.StrContains(t, f.log.String(), "keys=shutdown-s callers=1")
		must.StrContains(t, f.log.String(), "event=reload signal=hangup settings=unchanged")
		must.StrContains(t, f.log.String(), `event=reload signal=hangup settings="changed, in force from the next start"`)
	})
}

// The primary dies. Callers' writes are refused as not run until another member leads,
// about two seconds later; then one is acknowledged, and the one before is there.
func TestPrimaryDies(t *testing.T) {
	play(t, func(f *fleet) {
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		ask := f.call(i, "strict")
		must.Eq(t, "I", ask("PUT k v"))
		f.group.Crash("g-1")
		time.Sleep(2500 * time.Millisecond)
		must.Eq(t, "I", ask("PUT k2 v"))
		must.Eq(t, "v I", ask("FETCH k"))
	})
}

// The store forgets its history, or is away for a while, and a version comes in that
// time. It is in force soon after.
func TestStoreTrouble(t *testing.T) {
	t.Run("history lost", func(t *testing.T) {
		play(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			f.configure(added)
			f.store.Compact()
			time.Sleep(time.Second)
			must.Eq(t, "none I", f.call(i, "added")("FETCH k"))
		})
	})
	t.Run("away", func(t *testing.T) {
		play(t, func(f *fleet) {
			i := f.start("10.5.0.1", "a")
			time.Sleep(3 * time.Second)
			f.configure(added)
			f.store.SetFaults(func(x *storer.Faults) { x.Down = true })
			time.Sleep(5 * time.Second)
			must.Eq(t, "I", f.call(i, "strict")("PUT k v"))
			f.store.SetFaults(func(x *storer.Faults) { x.Down = false })
			time.Sleep(time.Second)
			must.Eq(t, "v I", f.call(i, "added")("FETCH k"))
		})
	})
}

// An instance starts while others, which are gone without a word, still fill the
// primary. Reads that may be old are served all the same: the replicas' positions show
// how far the log must reach. Without that they would wait for the primary.
func TestReadsWhilePrimaryIsFull(t *testing.T) {
	play(t, func(f *fleet) {
		old := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.call(old, "strict")("PUT k v"))
		for range 2 { // again once the old instance has given its idle connections up
			for n := range 12 {
				conn, err := f.net.Host(fmt.Sprintf("10.4.0.%d", n+1), "a").Dial(f.ctx, "10.9.1.1"+liner.Port)
				must.NoError(t, err)
				fmt.Fprintf(conn, "STARTUP g ghost g-1\r\n")
			}
			time.Sleep(6 * time.Second)
		}
		fresh := f.start("10.5.0.2", "b")
		time.Sleep(2 * time.Second)
		must.Eq(t, "v I", f.call(fresh, "own")("FETCH k"))
		must.Eq(t, "BUSY I", f.call(fresh, "strict")("FETCH k"))
	})
}

// The process is told to end: it says at once that it is not ready, answers what comes
// while the balancer still sends, lets an open transaction end, and is gone in time.
func TestLeave(t *testing.T) {
	play(t, func(f *fleet) {
		i := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		idle, open := f.call(i, "strict"), f.call(i, "strict")
		must.Eq(t, "T", open("BEGIN"))
		must.Eq(t, "T", open("PUT k v"))
		begin := time.Now()
		i.leave <- syscall.SIGTERM
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, http.StatusServiceUnavailable, f.ready(i))
		must.Eq(t, "none I", idle("FETCH other"))
		time.Sleep(2300 * time.Millisecond)
		must.Eq(t, "closed", idle("FETCH k"))
		must.Eq(t, "I", open("COMMIT"))
		must.NoError(t, <-i.ended)
		must.Less(t, 6*time.Second, time.Since(begin))
	})
}

// An instance that was told to end is followed by another at its addresses, at once.
// Were one of its parts still to listen, the new one could not start.
func TestStartAfterEnd(t *testing.T) {
	play(t, func(f *fleet) {
		for range 5 {
			i := f.start("10.5.0.1", "a")
			time.Sleep(2 * time.Second)
			must.Eq(t, http.StatusOK, f.ready(i))
			i.leave <- syscall.SIGTERM
			must.NoError(t, <-i.ended)
		}
	})
}

// An instance reaches the replicas only. A write was acknowledged by the one that then
// starts again with nothing of before, and the other has never received it. The replicas
// together know nothing of the write; a caller whose read may be 2.5 s old is told, once
// that time is past, that nobody can answer, and is not given the old value.
func TestReplicaStartsAgainWithoutPrimary(t *testing.T) {
	play(t, func(f *fleet) {
		f.dutiless = true
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "b")
		time.Sleep(3 * time.Second)
		strict, own := f.call(a, "strict"), f.call(b, "own")
		must.Eq(t, "I", strict("PUT k old"))
		time.Sleep(time.Second)
		must.Eq(t, "old I", own("FETCH k"))
		f.group.Isolate("g-2", "g-1")
		must.Eq(t, "I", strict("PUT k new"))
		f.group.Isolate("g-3", "g-1")
		f.group.Restart("g-3")
		f.net.Cut("10.5.0.2", "10.9.1.1")
		f.net.Cut("10.5.0.2", "10.5.0.1")
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			own("FETCH k")
		}
		must.StrContains(t, f.call(b, "own")("FETCH k"), "BUSY")
	})
}

// An instance starts again, with nothing, while the store turns it away. Its callers would
// be refused until the store is back; a neighbour knows the configuration, the members and
// who leads, and tells it within a second. What changes meanwhile is in force there, too,
// within the users' three seconds.
func TestFreshInstanceWithoutStore(t *testing.T) {
	play(t, func(f *fleet) {
		a, b := f.start("10.5.0.1", "a"), f.start("10.5.0.2", "a")
		time.Sleep(3 * time.Second)
		must.Eq(t, "I", f.call(a, "strict")("PUT k v"))
		b.kill()
		<-b.ended
		f.net.Cut("10.5.0.2", "10.6.0.1")
		b = f.start("10.5.0.2", "a")
		time.Sleep(time.Second)
		must.Eq(t, http.StatusOK, f.ready(b))
		must.Eq(t, "v I", f.call(b, "strict")("FETCH k"))
		f.configure(added)
		time.Sleep(2900 * time.Millisecond)
		must.Eq(t, "v I", f.call(b, "added")("FETCH k"))
	})
}

// All instances lose power, and the store turns one of them away when they are back. None
// has kept the name of another; the records in the store lead the others to the one that is
// alone.
func TestAllStartAgainOneWithoutStore(t *testing.T) {
	play(t, func(f *fleet) {
		ips := []string{"10.5.0.1", "10.5.0.2", "10.5.0.3"}
		var all []*instance
		for _, ip := range ips {
			all = append(all, f.start(ip, "a"))
		}
		time.Sleep(3 * time.Second)
		for _, i := range all {
			i.kill()
			<-i.ended
		}
		f.net.Cut("10.5.0.3", "10.6.0.1")
		var last *instance
		for _, ip := range ips {
			last = f.start(ip, "a")
		}
		time.Sleep(time.Second)
		must.Eq(t, http.StatusOK, f.ready(last))
		must.Eq(t, "I", f.call(last, "strict")("PUT k v"))
	})
}

// Answers of the primary are lost for a moment, while callers read there. Each lost one
// leaves a connection that nobody will ever answer on. Held for long, they take the places
// that the member has for all instances, and callers are refused after the moment is past;
// they are ended as soon as the statement's time is up.
func TestLostAnswersFreeTheirPlaces(t *testing.T) {
	play(t, func(f *fleet) {
		a := f.start("10.5.0.1", "a")
		time.Sleep(3 * time.Second)
		f.group.LoseReads("g-1", 10)
		var callers sync.WaitGroup
		for range 5 {
			ask := f.call(a, "strict")
			callers.Go(func() { ask("FETCH k") })
		}
		callers.Wait()
		time.Sleep(600 * time.Millisecond)
		must.LessEq(t, 3, f.group.Connected("g-1")) // one kept, one spare, the keeper's
	})
}
