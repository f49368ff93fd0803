package verifier_test

import (
	"testing"

	"github.com/oriolegw/oriolegw/pkg/verifier"
	"github.com/shoenig/test/must"
)

func TestVerifier(t *testing.T) {
	v, err := verifier.New("open sesame")
	must.NoError(t, err)
	parsed, err := verifier.Parse(v.String())
	must.NoError(t, err)
	must.True(t, parsed.Matches("open sesame"))
	must.False(t, parsed.Matches("open sesam"))
	must.False(t, parsed.Matches(""))
}

func TestMalformed(t *testing.T) {
	for _, s := range []string{
		"", "secret", "md5abc", "SCRAM-SHA-256$", "SCRAM-SHA-256$1:YQ==$YQ==:YQ==",
		"SCRAM-SHA-256$4096:YQ==$YQ==:YQ==", "SCRAM-SHA-256$999999999:YQ==$YQ==:YQ==",
	} {
		_, err := verifier.Parse(s)
		must.ErrorIs(t, err, verifier.ErrMalformed)
	}
}

func BenchmarkMatches(b *testing.B) {
	v, err := verifier.New("open sesame")
	must.NoError(b, err)
	for b.Loop() {
		must.True(b, v.Matches("open sesame"))
	}
}
