// Package loader reads and checks the settings of an entry instance: JSON with
// comments.
package loader

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/inspector"
)

type (
	// Settings are what an instance is told at its start. Everything else is in
	// the configuration document.
	Settings struct {
		Name string
		Zone string
		// Callers is where callers connect, Peers where other instances do, and
		// Status where the HTTP pages are; each "ip:port". An empty Status
		// means no pages.
		Callers, Peers, Status string
		// Seeds are where some other instances listen for instances. An instance
		// that starts while the platform is down asks them for the configuration.
		Seeds []string
		// Platform is the address of the platform's service.
		Platform  string
		TokenKeys []TokenKey
		// Authentication is how callers prove who they are.
		Authentication Authentication
		Encryption     Encryption
		Limits         Limits
	}

	// TokenKey is a secret for session tokens, shared by the fleet.
	TokenKey struct {
		Number uint8
		Secret string
	}

	// Authentication is how callers prove who they are.
	Authentication string

	// EncryptionMode says whether callers may or must use TLS.
	EncryptionMode string

	// Encryption is TLS towards callers.
	Encryption struct {
		Mode EncryptionMode
		// Certificate and Key are PEM files; Certificate may hold a chain.
		Certificate, Key string
	}

	// Limits bound what callers can cost the instance. Zero values stand for
	// the defaults.
	Limits struct {
		// Callers is how many are connected at once.
		Callers int
		// StartUp is how long a caller may take from connecting until it is
		// authenticated.
		StartUp time.Duration
		// Drain is how long a leaving instance waits for open transactions.
		Drain time.Duration
	}
)

const (
	// Trust believes the user name that a caller gives.
	Trust Authentication = "trust"
	// Password asks for a password, over TLS only.
	Password Authentication = "password"

	// EncryptionOff refuses TLS; the caller may go on without.
	EncryptionOff EncryptionMode = "off"
	// EncryptionAllow takes callers with and without TLS.
	EncryptionAllow EncryptionMode = "allow"
	// EncryptionRequire refuses callers without TLS.
	EncryptionRequire EncryptionMode = "require"

	// DefaultCallers is Limits.Callers by default.
	DefaultCallers = 10000
	// DefaultStartUp is Limits.StartUp by default.
	DefaultStartUp = 10 * time.Second
	// DefaultDrain is Limits.Drain by default.
	DefaultDrain = 30 * time.Second

	maxCallers   = 1000000
	maxStartUp   = time.Minute
	maxDrain     = time.Hour
	maxSeeds     = 100
	minSecret    = 16
	maxTokenKeys = 8
)

// Load reads a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, problems := Check(file, text)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Check reads settings from text and reports all mistakes. The settings are
// only good when there are none.
func Check(file string, text []byte) (*Settings, inspector.Problems) {
	s := &Settings{Encryption: Encryption{Mode: EncryptionOff}, Limits: Limits{Callers: DefaultCallers, StartUp: DefaultStartUp, Drain: DefaultDrain}}
	address := inspector.Unique("address")
	own := func(to *string) func(inspector.Node) {
		return func(n inspector.Node) { *to = n.Address(); address(n, *to) }
	}
	problems := inspector.Read(file, text, func(n inspector.Node) {
		var authentication inspector.Node
		n.Object(
			inspector.Need("name", func(n inspector.Node) { s.Name = n.Name() }),
			inspector.Need("availability-zone", func(n inspector.Node) { s.Zone = n.Name() }),
			inspector.Need("callers-address", own(&s.Callers)),
			inspector.Need("peers-address", own(&s.Peers)),
			inspector.May("peer-seeds", func(n inspector.Node) {
				n.Each(0, maxSeeds, func(n inspector.Node) { s.Seeds = append(s.Seeds, n.Address()) })
			}),
			inspector.May("status-address", own(&s.Status)),
			inspector.Need("platform-address", func(n inspector.Node) { s.Platform = n.Address() }),
			inspector.Need("token-keys", func(n inspector.Node) { s.TokenKeys = readKeys(n) }),
			inspector.Need("authentication", func(n inspector.Node) {
				authentication, s.Authentication = n, inspector.OneOf(n, Trust, Password)
			}),
			inspector.May("tls", func(n inspector.Node) { s.Encryption = readEncryption(n) }),
			inspector.May("limits", func(n inspector.Node) { readLimits(n, &s.Limits) }),
		)
		if s.Authentication == Password && s.Encryption.Mode != EncryptionRequire {
			authentication.Problem(`"password" without TLS`, `"password" with the tls mode "require", since a password must not cross the network in clear`)
		}
	})
	return s, problems
}

func readKeys(n inspector.Node) []TokenKey {
	var out []TokenKey
	unique := inspector.Unique("key number")
	n.Each(1, maxTokenKeys, func(n inspector.Node) {
		var k TokenKey
		n.Object(
			inspector.Need("number", func(n inspector.Node) {
				k.Number = uint8(n.Int(0, 255))
				unique(n, n.Found())
			}),
			inspector.Need("secret", func(n inspector.Node) {
				if k.Secret = n.Text(); k.Secret != "" && len(k.Secret) < minSecret {
					// The secret itself does not go into a message.
					n.Problem("a secret that is too short", "at least 16 bytes")
				}
			}),
		)
		out = append(out, k)
	})
	return out
}

func readEncryption(n inspector.Node) Encryption {
	e := Encryption{Mode: EncryptionOff}
	n.Object(
		inspector.Need("mode", func(n inspector.Node) {
			e.Mode = inspector.OneOf(n, EncryptionOff, EncryptionAllow, EncryptionRequire)
		}),
		inspector.May("certificate-file", func(n inspector.Node) { e.Certificate = n.Text() }),
		inspector.May("key-file", func(n inspector.Node) { e.Key = n.Text() }),
	)
	if e.Mode != EncryptionOff && (e.Certificate == "" || e.Key == "") {
		n.Problem("the mode "+string(e.Mode)+" without certificate", "certificate-file and key-file, beside the modes allow and require")
	}
	return e
}

func readLimits(n inspector.Node, l *Limits) {
	n.Object(
		inspector.May("callers", func(n inspector.Node) { l.Callers = n.Int(1, maxCallers) }),
		inspector.May("start-up-ms", func(n inspector.Node) { l.StartUp = n.Milliseconds(100*time.Millisecond, maxStartUp) }),
		inspector.May("drain-ms", func(n inspector.Node) { l.Drain = n.Milliseconds(0, maxDrain) }),
	)
}
