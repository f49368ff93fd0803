// Package loader reads and validates the settings files of oriolegw and oriolegw-edge: JSON
// with comments.
package loader

import (
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/inspector"
)

type (
	// Settings is the settings file of oriolegw. What may change at run time is in the
	// configuration document instead.
	Settings struct {
		Name string
		Zone string
		// Callers, PeerAddress and StatusAddress are the listen addresses for clients, for other
		// instances and for the HTTP status pages, as "ip:port". An empty StatusAddress
		// disables the pages.
		Callers, PeerAddress, StatusAddress string
		// Seeds are the peer addresses of some other instances. An instance that starts
		// while the platform is unavailable fetches the configuration from them.
		Seeds []string
		// PlatformAddress is the address of the platform's HTTP service.
		PlatformAddress string
		TokenKeys       []TokenKey
		// Authentication applies to clients.
		Authentication Authentication
		Encryption     Encryption
		Limits         Limits
	}

	// TokenKey is a secret for sealing session tokens, shared by all instances.
	TokenKey struct {
		Number uint8
		Secret string
	}

	// Authentication is the authentication method for clients.
	Authentication string

	// EncryptionMode is whether TLS is disabled, optional or required for clients.
	EncryptionMode string

	// Encryption configures TLS for client connections.
	Encryption struct {
		Mode EncryptionMode
		// Certificate and Key are paths of PEM files; Certificate may contain a chain.
		Certificate, Key string
	}

	// Limits bounds the resources that clients may use. A zero value means the default.
	Limits struct {
		// Callers is the maximum number of client connections.
		Callers int
		// AuthenticationTimeout is the timeout from accepting a connection until the client is
		// authenticated.
		AuthenticationTimeout time.Duration
		// DrainTimeout is how long an instance that shuts down waits for open transactions.
		DrainTimeout time.Duration
	}
)

const (
	// AuthenticationTrust accepts any user name without a password.
	AuthenticationTrust Authentication = "trust"
	// AuthenticationPassword requires a password, and TLS.
	AuthenticationPassword Authentication = "password"

	// EncryptionOff declines TLS; clients may continue in plain text.
	EncryptionOff EncryptionMode = "off"
	// EncryptionAllow accepts clients with and without TLS.
	EncryptionAllow EncryptionMode = "allow"
	// EncryptionRequire rejects clients without TLS.
	EncryptionRequire EncryptionMode = "require"

	// DefaultCallers is the default of Limits.Callers.
	DefaultCallers = 10000
	// DefaultAuthenticationTimeout is the default of Limits.AuthenticationTimeout.
	DefaultAuthenticationTimeout = 10 * time.Second
	// DefaultDrainTimeout is the default of Limits.DrainTimeout.
	DefaultDrainTimeout = 30 * time.Second

	maxCallers               = 1000000
	maxAuthenticationTimeout = time.Minute
	maxDrainTimeout          = time.Hour
	maxSeeds                 = 100
	minSecretBytes           = 16
	maxTokenKeys             = 8
)

// Load reads Settings from a file.
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

// Check decodes Settings and returns all problems. The settings are valid only if there are
// none.
func Check(file string, text []byte) (*Settings, inspector.Problems) {
	s := &Settings{Encryption: Encryption{Mode: EncryptionOff}, Limits: Limits{Callers: DefaultCallers, AuthenticationTimeout: DefaultAuthenticationTimeout, DrainTimeout: DefaultDrainTimeout}}
	unique := inspector.Unique("address")
	listenAddress := func(to *string) func(inspector.Node) {
		return func(n inspector.Node) { *to = n.Address(); unique(n, *to) }
	}
	problems := inspector.Read(file, text, func(n inspector.Node) {
		var authentication inspector.Node
		n.Object(
			inspector.Required("name", func(n inspector.Node) { s.Name = n.Name() }),
			inspector.Required("availability-zone", func(n inspector.Node) { s.Zone = n.Name() }),
			inspector.Required("callers-address", listenAddress(&s.Callers)),
			inspector.Required("peers-address", listenAddress(&s.PeerAddress)),
			inspector.Optional("peer-seeds", func(n inspector.Node) {
				n.Elements(0, maxSeeds, func(n inspector.Node) { s.Seeds = append(s.Seeds, n.Address()) })
			}),
			inspector.Optional("status-address", listenAddress(&s.StatusAddress)),
			inspector.Required("platform-address", func(n inspector.Node) { s.PlatformAddress = n.Address() }),
			inspector.Required("token-keys", func(n inspector.Node) { s.TokenKeys = readTokenKeys(n) }),
			inspector.Required("authentication", func(n inspector.Node) {
				authentication, s.Authentication = n, inspector.OneOf(n, AuthenticationTrust, AuthenticationPassword)
			}),
			inspector.Optional("tls", func(n inspector.Node) { s.Encryption = readEncryption(n) }),
			inspector.Optional("limits", func(n inspector.Node) { readLimits(n, &s.Limits) }),
		)
		if s.Authentication == AuthenticationPassword && s.Encryption.Mode != EncryptionRequire {
			authentication.Problem(`"password" without TLS`, `"password" with the tls mode "require", since a password must not be sent unencrypted`)
		}
	})
	return s, problems
}

func readTokenKeys(n inspector.Node) []TokenKey {
	var out []TokenKey
	unique := inspector.Unique("key number")
	n.Elements(1, maxTokenKeys, func(n inspector.Node) {
		var k TokenKey
		n.Object(
			inspector.Required("number", func(n inspector.Node) {
				k.Number = uint8(n.Int(0, 255))
				unique(n, n.Describe())
			}),
			inspector.Required("secret", func(n inspector.Node) {
				if k.Secret = n.Text(); k.Secret != "" && len(k.Secret) < minSecretBytes {
					// The message doesn't quote the secret.
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
		inspector.Required("mode", func(n inspector.Node) {
			e.Mode = inspector.OneOf(n, EncryptionOff, EncryptionAllow, EncryptionRequire)
		}),
		inspector.Optional("certificate-file", func(n inspector.Node) { e.Certificate = n.Text() }),
		inspector.Optional("key-file", func(n inspector.Node) { e.Key = n.Text() }),
	)
	if e.Mode != EncryptionOff && (e.Certificate == "" || e.Key == "") {
		n.Problem("the mode "+string(e.Mode)+" without certificate", "certificate-file and key-file, required by the modes allow and require")
	}
	return e
}

func readLimits(n inspector.Node, l *Limits) {
	n.Object(
		inspector.Optional("callers", func(n inspector.Node) { l.Callers = n.Int(1, maxCallers) }),
		inspector.Optional("start-up-ms", func(n inspector.Node) {
			l.AuthenticationTimeout = n.Milliseconds(100*time.Millisecond, maxAuthenticationTimeout)
		}),
		inspector.Optional("drain-ms", func(n inspector.Node) { l.DrainTimeout = n.Milliseconds(0, maxDrainTimeout) }),
	)
}
