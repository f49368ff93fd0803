package loader

import (
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/inspector"
)

// EntrySettings are what an entry instance on the users' platform is told at its
// start.
type EntrySettings struct {
	Name string
	Zone string
	// Regions gives the region of each availability zone.
	Regions map[string]string
	// Callers is where callers connect, Ready where the balancer asks whether it may
	// send some, Metrics where the metrics page is; each "ip:port".
	Callers, Ready, Metrics string
	// Store and Promotions are the platform's.
	Store, Promotions string
	// InForce is how soon a change of the configuration must be in force.
	InForce time.Duration
	// Shutdown is how long after SIGTERM the process is killed.
	Shutdown time.Duration
}

const (
	maxRegions  = 1000
	minInForce  = time.Second
	maxShutdown = 10 * time.Minute
)

// LoadEntry reads the settings file of an entry instance on the platform.
func LoadEntry(file string) (*EntrySettings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, problems := CheckEntry(file, text)
	if err := problems.Known().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// CheckEntry reads such settings from text and reports all mistakes. The settings
// are only good when there are none but unknown keys.
func CheckEntry(file string, text []byte) (*EntrySettings, inspector.Problems) {
	s := &EntrySettings{Regions: map[string]string{}}
	var ip netip.Addr
	var port int
	address := func(to *string) func(inspector.Node) {
		return func(n inspector.Node) { *to = n.Address() }
	}
	problems := inspector.Read(file, text, func(n inspector.Node) {
		n.Object(
			inspector.Need("name", func(n inspector.Node) { s.Name = n.Text() }),
			inspector.Need("availability-zone", func(n inspector.Node) { s.Zone = n.Text() }),
			inspector.Need("regions", func(n inspector.Node) {
				n.Pairs(maxRegions, func(zone string, n inspector.Node) { s.Regions[zone] = n.Text() })
			}),
			inspector.Need("callers-address", address(&s.Callers)),
			inspector.Need("ready-address", address(&s.Ready)),
			inspector.Need("instance-address", func(n inspector.Node) {
				a, err := netip.ParseAddr(n.Text())
				if err != nil {
					n.Problem(n.Found(), "an IP number")
				}
				ip = a
			}),
			inspector.Need("instance-port", func(n inspector.Node) { port = n.Int(1, 1<<16-1) }),
			inspector.Need("store-address", address(&s.Store)),
			inspector.Need("promotions-address", address(&s.Promotions)),
			inspector.Need("in-force-ms", func(n inspector.Node) { s.InForce = n.Milliseconds(minInForce, maxShutdown) }),
			inspector.Need("shutdown-s", func(n inspector.Node) { s.Shutdown = n.Seconds(0, maxShutdown) }),
		)
	})
	s.Metrics = ip.String() + ":" + strconv.Itoa(port)
	return s, problems
}
