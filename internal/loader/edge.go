package loader

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/inspector"
	"github.com/oriolegw/oriolegw/internal/limiter"
)

// EdgeSettings is the settings file of oriolegw-edge, the proxy for the hosting platform.
type EdgeSettings struct {
	Name string
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Callers, ReadinessAddress and MetricsAddress are the listen addresses for clients, for the
	// load balancer's readiness checks and for the metrics page, as "ip:port". An empty
	// MetricsAddress disables the page.
	Callers, ReadinessAddress, MetricsAddress string
	// PeerAddress is the listen address for other instances, as "ip:port"; if empty, instances
	// don't communicate. Seeds are the peer addresses of some other instances.
	PeerAddress string
	Seeds       []string
	// StoreAddress and PromotionAddress are the addresses of the platform's key-value store and
	// promotion service. An empty PromotionAddress disables failover.
	StoreAddress, PromotionAddress string
	// Cores is the CPU quota in cores; 0 if unknown. Instances with more cores do more
	// of the tasks that a few instances perform for the whole fleet.
	Cores float64
	// MaxApplyDelay is the maximum delay until a configuration change applies.
	MaxApplyDelay time.Duration
	// LimitTolerance is how far a customer may exceed its rate limit, which instances count
	// separately.
	LimitTolerance limiter.Tolerance
	// ShutdownTimeout is the time from SIGTERM until the process is killed.
	ShutdownTimeout time.Duration
	// ColdStart is set for the initial start of the whole fleet.
	ColdStart bool
}

const (
	maxRegions         = 1000
	minApplyDelay      = time.Second
	maxShutdownTimeout = 10 * time.Minute
	maxCores           = 1024

	maxLimitWindow = time.Minute
	maxOverage     = 10
	maxSlack       = 1_000_000

	// DefaultMaxApplyDelay and DefaultShutdownTimeout are the defaults of EdgeSettings; they match
	// the hosting platform's deployments.
	DefaultMaxApplyDelay   = 3 * time.Second
	DefaultShutdownTimeout = 6 * time.Second
)

// DefaultLimitTolerance is the default of EdgeSettings.LimitTolerance.
var DefaultLimitTolerance = limiter.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// LoadEdgeSettings reads EdgeSettings from a file. It ignores unknown keys.
func LoadEdgeSettings(file string) (*EdgeSettings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, problems := CheckEdgeSettings(file, text)
	if err := problems.WithoutUnknownKeys().Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// CheckEdgeSettings decodes EdgeSettings and returns all problems. The settings are valid only
// if there are no problems other than unknown keys.
func CheckEdgeSettings(file string, text []byte) (*EdgeSettings, inspector.Problems) {
	s := &EdgeSettings{Regions: map[string]string{}, MaxApplyDelay: DefaultMaxApplyDelay, ShutdownTimeout: DefaultShutdownTimeout, LimitTolerance: DefaultLimitTolerance}
	address := func(to *string) func(inspector.Node) {
		return func(n inspector.Node) { *to = n.Address() }
	}
	problems := inspector.Read(file, text, func(n inspector.Node) {
		n.Object(
			inspector.Required("name", func(n inspector.Node) { s.Name = n.Text() }),
			inspector.Required("availability-zone", func(n inspector.Node) { s.Zone = n.Text() }),
			inspector.Required("regions", func(n inspector.Node) {
				n.Members(maxRegions, func(zone string, n inspector.Node) { s.Regions[zone] = n.Text() })
			}),
			inspector.Required("callers-address", address(&s.Callers)),
			inspector.Required("ready-address", address(&s.ReadinessAddress)),
			inspector.Optional("metrics-address", address(&s.MetricsAddress)),
			inspector.Optional("peers-address", address(&s.PeerAddress)),
			inspector.Optional("seeds", func(n inspector.Node) {
				n.Elements(0, maxSeeds, func(n inspector.Node) { s.Seeds = append(s.Seeds, n.Address()) })
			}),
			inspector.Required("store-address", address(&s.StoreAddress)),
			inspector.Optional("promotions-address", address(&s.PromotionAddress)),
			inspector.Optional("cores", func(n inspector.Node) { s.Cores = n.Number(0, maxCores) }),
			inspector.Optional("in-force-ms", func(n inspector.Node) { s.MaxApplyDelay = n.Milliseconds(minApplyDelay, maxShutdownTimeout) }),
			inspector.Optional("limit-window-s", func(n inspector.Node) { s.LimitTolerance.Window = n.Seconds(time.Second, maxLimitWindow) }),
			inspector.Optional("limit-overage", func(n inspector.Node) { s.LimitTolerance.Overage = n.Number(0, maxOverage) }),
			inspector.Optional("limit-slack", func(n inspector.Node) { s.LimitTolerance.Slack = n.Number(0, maxSlack) }),
			inspector.Optional("shutdown-s", func(n inspector.Node) { s.ShutdownTimeout = n.Seconds(0, maxShutdownTimeout) }),
			inspector.Optional("first-start", func(n inspector.Node) { s.ColdStart = n.Bool() }),
		)
	})
	return s, problems
}
