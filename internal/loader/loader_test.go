package loader_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/shoenig/test/must"
)

func sample(t testing.TB, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../samples/" + name)
	must.NoError(t, err)
	return string(text)
}

func TestSamples(t *testing.T) {
	for _, name := range []string{"keyhold-settings.json", "kellerman-settings.json"} {
		t.Run(name, func(t *testing.T) {
			s, problems := loader.Check(name, []byte(sample(t, name)))
			must.NoError(t, problems.Err())
			must.Eq(t, loader.AuthenticationPassword, s.Authentication)
			must.Eq(t, loader.EncryptionRequire, s.Encryption.Mode)
			must.Eq(t, 30*time.Second, s.Limits.DrainTimeout)
		})
	}
}

func TestCheckRejectsInvalidSettings(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"password without TLS":   {`"mode": "require"`, `"mode": "allow"`, `authentication: found "password" without TLS`},
		"authentication missing": {`"authentication": "password",`, ``, `found no key "authentication"`},
		"unknown method":         {`"authentication": "password"`, `"authentication": "md5"`, `authentication: found "md5"; allowed: "trust", "password"`},
		"no certificate":         {`"certificate-file": "/etc/oriolegw/tls.crt",`, ``, `tls: found the mode require without certificate`},
		"short secret":           {`replace this by 32 random bytes`, `short`, `token-keys[0].secret: found a secret that is too short`},
		"duplicate address":      {`:7100`, `:5432`, `peers-address: found address "10.10.1.11:5432" repeated`},
		"no port":                {`10.10.0.10:2379`, `10.10.0.10`, `platform-address: found "10.10.0.10"`},
		"unknown nested key":     {`"drain-ms"`, `"drain"`, `limits: found unknown key "drain"; allowed: callers, start-up-ms, drain-ms`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(sample(t, "keyhold-settings.json"), c.old, c.new, 1)
			_, problems := loader.Check("s.json", []byte(text))
			must.Positive(t, len(problems))
			must.StrContains(t, problems.Error(), c.want)
		})
	}
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(sample(f, "keyhold-settings.json")))
	f.Add([]byte(`{"token-keys": [{"number": 1e9, "secret": null}], "tls": [], "limits": {"callers": -1}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		_, problems := loader.Check("s.json", text)
		if problems.Err() != nil {
			must.NotEq(t, "", problems.Error())
		}
	})
}
