package loader

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/inspector"
	"github.com/oriolegw/oriolegw/internal/limiter"
)

// EntrySettings is the settings file of oriolegw-edge, the proxy for the hosting platform.
type EntrySettings struct {
	Name string
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Callers, Ready and Metrics are the listen addresses for clients, for the load balancer's
	// readiness checks and for the metrics page, as "ip:port". An empty Metrics disables the page.
	Callers, Ready, Metrics string
	// Peers is the listen address for other instances, as "ip:port"; if empty, instances don't
	// communicate. Seeds are the Peers addresses of some other instances.
	Peers string
	Seeds []string
	// Store and Promotions are the addresses of the platform's key-value store and promotion
	// service. An empty Promotions disables failover.
	Store, Promotions string
	// Cores is the CPU quota in cores; 0 if unknown. Instances with more cores take more of
	// the work that a few instances do for all.
	Cores float64
	// InForce is the maximum delay until a configuration change applies.
	InForce time.Duration
	// Limits is how far a customer may exceed its rate limit, which instances count separately.
	Limits limiter.Tolerance
	// Shutdown is the time from SIGTERM until the process is killed.
	Shutdown time.Duration
	// FirstStart is set for the initial start of the whole fleet.
	FirstStart bool
}

const (
	maxRegions  = 1000
	minInForce  = time.Second
	maxShutdown = 10 * time.Minute
	maxCores    = 1024

	maxLimitWindow = time.Minute
	maxOverage     = 10
	maxSlack       = 1_000_000

	// DefaultInForce and DefaultShutdown are the defaults of EntrySettings; they match the
	// hosting platform's deployments.
	DefaultInForce  = 3 * time.Second
	DefaultShutdown = 6 * time.Second
)

// DefaultLimits is the default of EntrySettings.Limits.
var DefaultLimits = limiter.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// LoadEntry reads EntrySettings from a file. It ignores unknown keys.
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

// CheckEntry decodes EntrySettings and returns all problems. The settings are valid only if
// there are no problems other than unknown keys.
func CheckEntry(file string, text []byte) (*EntrySettings, inspector.Problems) {
	s := &EntrySettings{Regions: map[string]string{}, InForce: DefaultInForce, Shutdown: DefaultShutdown, Limits: DefaultLimits}
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
			inspector.May("metrics-address", address(&s.Metrics)),
			inspector.May("peers-address", address(&s.Peers)),
			inspector.May("seeds", func(n inspector.Node) {
				n.Each(0, maxSeeds, func(n inspector.Node) { s.Seeds = append(s.Seeds, n.Address()) })
			}),
			inspector.Need("store-address", address(&s.Store)),
			inspector.May("promotions-address", address(&s.Promotions)),
			inspector.May("cores", func(n inspector.Node) { s.Cores = n.Number(0, maxCores) }),
			inspector.May("in-force-ms", func(n inspector.Node) { s.InForce = n.Milliseconds(minInForce, maxShutdown) }),
			inspector.May("limit-window-s", func(n inspector.Node) { s.Limits.Window = n.Seconds(time.Second, maxLimitWindow) }),
			inspector.May("limit-overage", func(n inspector.Node) { s.Limits.Overage = n.Number(0, maxOverage) }),
			inspector.May("limit-slack", func(n inspector.Node) { s.Limits.Slack = n.Number(0, maxSlack) }),
			inspector.May("shutdown-s", func(n inspector.Node) { s.Shutdown = n.Seconds(0, maxShutdown) }),
			inspector.May("first-start", func(n inspector.Node) { s.FirstStart = n.Bool() }),
		)
	})
	return s, problems
}
