package launcher_test

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/standin/platformer"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/oriolegw/oriolegw/internal/tracker"
	"github.com/oriolegw/oriolegw/platform"
)

var (
	soakSeeds     = flag.Int("seeds", 4, "number of seeds of each soak")
	soakFirstSeed = flag.Uint64("from", 1, "first seed of the soaks")
)

const (
	soakDuration     = 25 * time.Second
	soakRecoveryTime = 15 * time.Second
	soakClients      = 6
	// verifyingClient is the number of the client that checks that instances serve.
	verifyingClient = 99
	// stalenessBound is the staleness bound of the route "own".
	stalenessBound = 2500 * time.Millisecond
)

type (
	// soak injects random faults into a fleet and checks the responses that clients get.
	soak struct {
		*fleet
		random *rand.Rand
		// faults are the faults to choose from; ips are the instances' addresses.
		faults []fault
		ips    []string
		// dial connects a client to an instance.
		dial func(ctx context.Context, client int, ip string) (net.Conn, error)
		// instances are those that run in this process, zones their availability zones by IP.
		instances map[string]*instance
		zones     map[string]string

		mutex sync.Mutex
		// acknowledged holds the acknowledged values of each key; refused the writes that
		// were reported as not run.
		acknowledged map[string][]acknowledgedValue
		refused      map[string]bool
		// unknown are the writes with unknown outcome or no response. A network partition
		// can delay one so that it takes effect after newer values of its key.
		unknown       map[string]bool
		violations    []string
		outcomes      map[string]int
		injected      []string
		joinedMembers int
		seed          uint64
	}

	acknowledgedValue struct {
		value          int
		acknowledgedAt time.Time
	}

	// fault is a kind of fault; inject starts it and returns the function that ends it.
	fault struct {
		name   string
		inject func(s *soak) (heal func())
	}
)

// groupFaults are faults of members, the store and the configuration; networkFaults are
// faults of the network and of instances in this process.
var groupFaults = []fault{
	{"primary crashes and returns", func(s *soak) func() { return s.crashMember(s.currentPrimary()) }},
	{"replica crashes and returns", func(s *soak) func() { return s.crashMember(s.randomReplica()) }},
	{"primary replaced", func(s *soak) func() { return s.replaceMember(s.currentPrimary()) }},
	{"replica replaced", func(s *soak) func() { return s.replaceMember(s.randomReplica()) }},
	{"replica restarts without its data", func(s *soak) func() {
		s.group.Restart(s.randomReplica())
		return func() {}
	}},
	{"entry overwritten", func(s *soak) func() {
		s.overwriteEntry(platform.MemberPrefix + s.memberIDs()[s.random.IntN(len(s.memberIDs()))])
		return func() {}
	}},
	{"replica cut from replication", func(s *soak) func() {
		id := s.randomReplica()
		s.group.BlockReplication(id, s.memberIDs()...)
		return func() { s.group.UnblockReplication(id) }
	}},
	{"primary cut from replicas", func(s *soak) func() {
		p := s.currentPrimary()
		for _, id := range s.memberIDs() {
			if id != p {
				s.group.BlockReplication(id, p)
			}
		}
		return func() {
			for _, id := range s.memberIDs() {
				s.group.UnblockReplication(id)
			}
		}
	}},
	{"responses of the primary lost", func(s *soak) func() {
		s.group.DropWriteResponses(s.currentPrimary(), 3)
		return func() {}
	}},
	{"store down", func(s *soak) func() {
		s.store.SetFaults(func(f *storer.Faults) { f.Down = true })
		return func() { s.store.SetFaults(func(f *storer.Faults) { f.Down = false }) }
	}},
	{"store slow", func(s *soak) func() {
		s.store.SetFaults(func(f *storer.Faults) { f.Latency = 250 * time.Millisecond })
		return func() { s.store.SetFaults(func(f *storer.Faults) { f.Latency = 0 }) }
	}},
	{"store's responses, history and leases lost", func(s *soak) func() {
		s.store.SetFaults(func(f *storer.Faults) { f.LoseResponses = 2 })
		s.store.Compact()
		s.store.ExpireLeases()
		return func() {}
	}},
	{"configuration changes", func(s *soak) func() {
		s.publishConfiguration(s.random.IntN(2) == 0)
		return func() {}
	}},
}

var networkFaults = []fault{
	{"zones partitioned", func(s *soak) func() {
		pair := [][2]string{{"a", "b"}, {"b", "c"}, {"a", "c"}}[s.random.IntN(3)]
		s.net.Partition(pair[0], pair[1])
		return func() { s.net.Heal(pair[0], pair[1]) }
	}},
	{"instance terminated", func(s *soak) func() {
		ip := s.randomInstance()
		s.instances[ip].shutdown <- syscall.SIGTERM
		return func() { s.restartInstance(ip) }
	}},
	{"instance killed", func(s *soak) func() {
		ip := s.randomInstance()
		s.instances[ip].kill()
		s.net.Kill(ip)
		return func() {
			s.net.Revive(ip)
			s.restartInstance(ip)
		}
	}},
}

// currentPrimary returns the primary, or the first member if there is none.
func (s *soak) currentPrimary() string {
	if id, _ := s.group.Primary(); id != "" {
		return id
	}
	return s.memberIDs()[0]
}

// randomReplica returns a random member that is not the primary.
func (s *soak) randomReplica() string {
	ids := slices.DeleteFunc(s.memberIDs(), func(id string) bool { return id == s.currentPrimary() })
	return ids[s.random.IntN(len(ids))]
}

func (s *soak) memberIDs() []string {
	var ids []string
	for _, m := range s.group.Registrations() {
		if !m.Leaving {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

func (s *soak) randomInstance() string {
	return s.ips[s.random.IntN(len(s.ips))]
}

func (s *soak) crashMember(id string) func() {
	s.group.Crash(id)
	return func() { s.group.Recover(id) }
}

// overwriteEntry writes an invalid member entry, if the store is available.
func (s *soak) overwriteEntry(key string) {
	now, err := s.store.Get(s.ctx, key)
	if err != nil {
		return
	}
	if s.random.IntN(2) == 0 {
		now.Value = withLaterStart(now.Value)
	} else {
		now.Value = []byte(`{"service": "g", "phase": "unheard-of"}`)
	}
	_, _, _ = s.store.Swap(s.ctx, now, 0)
}

// withLaterStart returns a member's entry with a later start time and the address of no member.
func withLaterStart(value []byte) []byte {
	var entry map[string]any
	if json.Unmarshal(value, &entry) != nil {
		return value
	}
	entry["born"], entry["address"] = time.Now().Add(time.Hour).UnixMilli(), "10.9.9.9:1"
	text, err := json.Marshal(entry)
	if err != nil {
		return value
	}
	return text
}

// replaceMember adds a new member and has the old one announce its departure; the returned
// function removes the old one eight seconds after that.
func (s *soak) replaceMember(id string) func() {
	s.joinedMembers++
	s.group.Join(fmt.Sprintf("g-new%d", s.joinedMembers), []string{"a", "b", "c"}[s.random.IntN(3)], fmt.Sprintf("10.9.2.%d", s.joinedMembers))
	s.group.MarkLeaving(id)
	removeAt := time.Now().Add(8 * time.Second)
	return func() {
		time.Sleep(time.Until(removeAt))
		s.group.Terminate(id)
	}
}

// restartInstance waits until an instance exits and starts a new one at its address.
func (s *soak) restartInstance(ip string) {
	<-s.instances[ip].exited
	s.instances[ip] = s.start(ip, s.zones[ip])
}

// publishConfiguration publishes a configuration, if the store is available.
func (s *soak) publishConfiguration(withAddedRoute bool) {
	c := tracker.Configuration{
		Version: s.version + 7, TransactionIdleTimeout: 3 * time.Second, Routes: map[string]tracker.Route{},
		Groups: map[string]tracker.GroupSettings{"g": {Connections: 12, SyncReplicas: 1}},
	}
	for n, r := range baseRoutes {
		if s.customers != nil {
			r.Priority = n
		}
		c.Routes[r.Database] = r
	}
	if withAddedRoute {
		c.Routes[addedRoute.Database] = addedRoute
	}
	s.addExtraGroups(&c)
	old, err := s.store.Get(s.ctx, platform.ConfigurationKey)
	if err != nil {
		return
	}
	old.Value = platformer.EncodeConfiguration(c, s.customers...)
	if _, ok, err := s.store.Swap(s.ctx, old, 0); ok || err != nil {
		s.version += 7
	}
}

// injectFaults injects random faults, partly overlapping, until the given time, and waits
// until all have ended.
func (s *soak) injectFaults(until time.Time) {
	var healing sync.WaitGroup
	active := map[string]bool{}
	for time.Now().Before(until) {
		f := s.faults[s.random.IntN(len(s.faults))]
		// At most one of the faults whose names start with the same word at a time, since no
		// guarantee holds with several members down.
		kind, _, _ := strings.Cut(f.name, " ")
		s.mutex.Lock()
		allowed := !active[kind]
		active[kind] = true
		s.mutex.Unlock()
		if allowed {
			s.recordFault("%s", f.name)
			heal := f.inject(s)
			duration := time.Duration(500+s.random.IntN(4000)) * time.Millisecond
			healing.Go(func() {
				time.Sleep(duration)
				heal()
				s.recordFault("ends: %s", f.name)
				s.mutex.Lock()
				delete(active, kind)
				s.mutex.Unlock()
			})
		}
		time.Sleep(time.Duration(300+s.random.IntN(2500)) * time.Millisecond)
	}
	healing.Wait()
}

func (s *soak) recordFault(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.injected = append(s.injected, time.Now().Format("05.000 ")+fmt.Sprintf(format, values...))
}

func (s *soak) recordViolation(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.violations = append(s.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, values...))
}

// newestAcknowledged returns the newest value of a key acknowledged before a time.
func (s *soak) newestAcknowledged(key string, before time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	v := 0
	for _, a := range s.acknowledged[key] {
		if a.acknowledgedAt.Before(before) {
			v = max(v, a.value)
		}
	}
	return v
}

// minOwnValue returns the lowest value that a client may read of its own key: on a bounded
// route, its own writes in the session and older ones beyond the staleness bound must show.
func (s *soak) minOwnValue(c *soakClient, key string) int {
	if c.database == "strict" {
		return s.newestAcknowledged(key, time.Now())
	}
	v := s.newestAcknowledged(key, time.Now().Add(-stalenessBound))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, a := range s.acknowledged[key] {
		if a.acknowledgedAt.After(c.connectedAt) {
			v = max(v, a.value)
		}
	}
	return v
}

func (s *soak) recordOutcome(outcome string, key string, value int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outcomes[outcome]++
	switch outcome {
	case "done":
		s.acknowledged[key] = append(s.acknowledged[key], acknowledgedValue{value, time.Now()})
	case "refused":
		s.refused[fmt.Sprintf("%s=%d", key, value)] = true
	case "unknown":
		s.unknown[fmt.Sprintf("%s=%d", key, value)] = true
	}
}

// runClient runs a client that writes increasing values of its own key and reads its own and
// other keys through random instances.
func (s *soak) runClient(n int, until time.Time) {
	key := fmt.Sprintf("k%d", n)
	random := rand.New(rand.NewPCG(s.seed, uint64(n)))
	value := 0
	for time.Now().Before(until) {
		database := []string{"own", "strict"}[random.IntN(2)]
		c := s.connect(n, s.ips[random.IntN(len(s.ips))], database)
		for c != nil && time.Now().Before(until) {
			other := fmt.Sprintf("k%d", random.IntN(soakClients))
			ok := true
			switch random.IntN(5) {
			case 0, 1:
				value++
				ok = s.write(c, key, value, random.IntN(3) == 0)
			case 2:
				ok = s.checkRead(c, key, s.minOwnValue(c, key))
			default:
				since := time.Now()
				if database == "own" {
					since = since.Add(-stalenessBound)
				}
				ok = s.checkRead(c, other, s.newestAcknowledged(other, since))
			}
			if !ok || random.IntN(20) == 0 {
				c.conn.Close()
				break
			}
			time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// write writes a value, optionally in a transaction, and reports whether the session is still open.
func (s *soak) write(c *soakClient, key string, value int, inTransaction bool) bool {
	put := fmt.Sprintf("PUT %s %d", key, value)
	var code string
	if inTransaction {
		code = c.query("BEGIN")
		if code == "" {
			code = c.query(put)
		}
		if code == "" {
			code = c.query("COMMIT")
		} else if code != "closed" {
			c.query("ROLLBACK")
		}
	} else {
		code = c.query(put)
	}
	switch code {
	case "":
		s.recordOutcome("done", key, value)
	case "BUSY", "ABORTED", "READONLY", "LAGGING":
		s.recordOutcome("refused", key, value)
	default:
		s.recordOutcome("unknown", key, value)
	}
	return code != "closed"
}

// checkRead reads a key, whose value must not be below the minimum, and reports whether the
// session is still open.
func (s *soak) checkRead(c *soakClient, key string, minimum int) bool {
	code := c.query("FETCH " + key)
	if code != "" {
		s.recordOutcome("read refused", key, 0)
		return code != "closed"
	}
	s.recordOutcome("read", key, 0)
	got, err := strconv.Atoi(strings.Replace(c.row, "none", "0", 1))
	if err == nil && got < minimum && s.tookEffectLate(key, got) {
		s.recordOutcome("read of a late write", key, got)
		return true
	}
	if err != nil || got < minimum {
		s.recordViolation("%s on %s shows %q, want at least %d (%s-%d)", key, c.database, c.row, minimum, c.name, c.statements)
	}
	return true
}

// tookEffectLate reports whether a write of unknown outcome follows a newer value of its key
// in the log.
func (s *soak) tookEffectLate(key string, value int) bool {
	s.mutex.Lock()
	unknown := s.unknown[fmt.Sprintf("%s=%d", key, value)]
	s.mutex.Unlock()
	newest := 0
	for _, e := range s.group.Log() {
		v, _ := strconv.Atoi(e.Value)
		if e.Key == key && v == value && newest > value {
			return unknown
		}
		if e.Key == key {
			newest = max(newest, v)
		}
	}
	return false
}

// verifyLog checks the group's log against the responses that clients got.
func (s *soak) verifyLog() {
	newest, seen := map[string]int{}, map[string]bool{}
	for _, e := range s.group.Log() {
		v, _ := strconv.Atoi(e.Value)
		written := fmt.Sprintf("%s=%d", e.Key, v)
		if seen[written] {
			s.recordViolation("%s took effect twice", written)
		}
		if s.refused[written] {
			s.recordViolation("%s took effect though it was reported as not run", written)
		}
		seen[written] = true
		newest[e.Key] = max(newest[e.Key], v)
	}
	for key, list := range s.acknowledged {
		for _, a := range list {
			if !seen[fmt.Sprintf("%s=%d", key, a.value)] {
				s.recordViolation("%s=%d was acknowledged and lost", key, a.value)
			}
		}
	}
	for _, v := range s.group.Violations() {
		s.recordViolation("%s", v)
	}
}

// TestSoak injects random faults into three instances and a group, and checks clients'
// responses against the group's log: reads keep to the route's staleness bound, no
// acknowledged write is lost, no write takes effect twice or after it was reported as not
// run, and all instances serve afterwards. The flags -seeds and -from select the seeds.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSoak(t, seed, independentZones) })
	}
}

// TestFollowersSoak is TestSoak with five instances in one region, which share store reads,
// freshness proofs and connections, and two in regions of their own. Wrong proofs and missed
// changes on followers show as stale reads or lost writes.
func TestFollowersSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSoak(t, seed, sharedZones) })
	}
}

// TestManyGroupsSoak is TestFollowersSoak with more groups than an instance prepares, so that the
// group's state, connections and proofs are created on use.
func TestManyGroupsSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakFirstSeed + uint64(i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			runFleet(t, func(f *fleet) {
				f.extraGroups = 60
				f.configure()
				soakFleet(f, seed, sharedZones)
			})
		})
	}
}

// The availability zones of the soaks' instances by IP.
var (
	independentZones = map[string]string{"10.5.0.1": "a", "10.5.0.2": "b", "10.5.0.3": "c"}
	sharedZones      = map[string]string{
		"10.5.0.1": "a", "10.5.0.2": "b", "10.5.0.3": "c", "10.5.0.4": "a", "10.5.0.5": "a", "10.5.0.6": "a", "10.5.0.7": "a",
	}
)

func runSoak(t *testing.T, seed uint64, zones map[string]string) {
	runFleet(t, func(f *fleet) { soakFleet(f, seed, zones) })
}

// soakFleet runs a soak on instances in the given zones.
func soakFleet(f *fleet, seed uint64, zones map[string]string) {
	s := newSoak(f, seed)
	s.faults = slices.Concat(groupFaults, networkFaults)
	s.instances = map[string]*instance{}
	s.zones = zones
	s.ips = slices.Sorted(maps.Keys(s.zones))
	s.dial = func(ctx context.Context, n int, ip string) (net.Conn, error) {
		return s.net.Host(fmt.Sprintf("10.7.9.%d", n), []string{"a", "b", "c"}[n%3]).Dial(ctx, ip+":5000")
	}
	for ip, zone := range s.zones {
		s.instances[ip] = f.start(ip, zone)
	}
	time.Sleep(4 * time.Second)
	s.run(soakDuration, soakRecoveryTime, s.net.HealAll)
}

func newSoak(f *fleet, seed uint64) *soak {
	return &soak{
		fleet: f, seed: seed, random: rand.New(rand.NewPCG(seed, 0)),
		acknowledged: map[string][]acknowledgedValue{}, refused: map[string]bool{}, unknown: map[string]bool{}, outcomes: map[string]int{},
	}
}

// run injects faults while clients send statements, ends all faults, and checks after the
// recovery time that nothing was lost and every instance serves.
func (s *soak) run(duration, recoveryTime time.Duration, heal func()) {
	until := time.Now().Add(duration)
	var clients sync.WaitGroup
	for n := range soakClients {
		clients.Go(func() { s.runClient(n, until.Add(recoveryTime)) })
	}
	s.injectFaults(until)
	heal()
	clients.Wait()
	s.verifyLog()
	for _, ip := range s.ips {
		c := s.connect(verifyingClient, ip, "strict")
		if c == nil || c.query("PUT end 1") != "" {
			s.recordViolation("%s does not serve a write at the end", ip)
		}
	}
	s.t.Log(s.outcomes)
	if len(s.violations) > 0 {
		s.t.Errorf("seed %d:\n%s\nfaults:\n%s", s.seed, strings.Join(s.violations[:min(10, len(s.violations))], "\n"), strings.Join(s.injected, "\n"))
	}
}

// soakClient is a session whose connection errors do not fail the test.
type soakClient struct {
	conn        net.Conn
	in          *bufio.Reader
	database    string
	name        string
	connectedAt time.Time
	statements  int
	row         string
	// customer is the client's customer; ran records what it has run.
	customer string
	ran      *operationLog
}

// connect opens a session on an instance, nil if that fails.
func (s *soak) connect(client int, ip, database string) *soakClient {
	dialContext, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	conn, err := s.dial(dialContext, client, ip)
	if err != nil {
		return nil
	}
	c := &soakClient{connectedAt: time.Now(), conn: conn, in: bufio.NewReader(conn), database: database, name: strconv.FormatInt(time.Now().UnixNano(), 36) + strconv.Itoa(client)}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	key := "me"
	if len(s.customers) > 0 {
		n := client % len(s.customers)
		key, c.customer, c.ran = s.customers[n].Keys[0], s.customers[n].Name, s.ran
	}
	fmt.Fprintf(conn, "STARTUP %s %s\r\n", database, key)
	if line, err := c.in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil
	}
	return c
}

// query runs a statement and returns its error code, "" for success, or "closed" when the
// connection fails.
func (c *soakClient) query(text string) string {
	c.statements++
	c.row = ""
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(6 * time.Second))
	fmt.Fprintf(c.conn, "QUERY %s-%d %s\r\n", c.name, c.statements, text)
	code := ""
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			return "closed"
		}
		f := strings.Fields(line)
		switch f[0] {
		case "DATAROW":
			c.row = f[1]
		case "ERROR":
			code = f[1]
		case "READY":
			// Each transaction has one statement.
			if code == "" && (strings.HasPrefix(text, "PUT") || strings.HasPrefix(text, "FETCH")) {
				c.ran.add(c.customer, sent, time.Now())
			}
			return code
		}
	}
}
