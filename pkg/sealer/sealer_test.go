package sealer_test

import (
	"testing"

	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/oriolegw/oriolegw/pkg/sealer"
	"github.com/shoenig/test/must"
)

func key(n uint8, c byte) sealer.Key {
	k := sealer.Key{Number: n, Secret: make([]byte, 16)}
	for i := range k.Secret {
		k.Secret[i] = c
	}
	return k
}

func TestOpen(t *testing.T) {
	floor := orderer.Position{Term: 3, Offset: 120}
	old, rotated := &sealer.Sealer{Keys: []sealer.Key{key(1, 'a')}}, &sealer.Sealer{Keys: []sealer.Key{key(2, 'b'), key(1, 'a')}}
	token := old.Seal("lockers", floor)

	t.Run("during key rotation", func(t *testing.T) {
		p, err := rotated.Open("lockers", token)
		must.NoError(t, err)
		must.Eq(t, floor, p)
	})
	t.Run("any changed byte", func(t *testing.T) {
		for i := range len(token) {
			b := []byte(token)
			b[i] ^= 4
			_, err := old.Open("lockers", string(b))
			must.Error(t, err, must.Sprint(i))
		}
	})
	for name, c := range map[string]struct {
		sealer  *sealer.Sealer
		service string
		token   string
		want    error
	}{
		"empty":                     {old, "lockers", "", sealer.ErrMalformed},
		"truncated":                 {old, "lockers", token[:len(token)-2], sealer.ErrMalformed},
		"other service":             {old, "jobs", token, sealer.ErrOtherService},
		"other fleet":               {&sealer.Sealer{Keys: []sealer.Key{key(1, 'x')}}, "lockers", token, sealer.ErrForged},
		"removed key":               {&sealer.Sealer{Keys: []sealer.Key{key(2, 'a')}}, "lockers", token, sealer.ErrForged},
		"future version":            {old, "lockers", "Ag" + token[2:], sealer.ErrVersion},
		"not in the token alphabet": {old, "lockers", "+/+/", sealer.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := c.sealer.Open(c.service, c.token)
			must.ErrorIs(t, err, c.want)
		})
	}
}

func FuzzOpen(f *testing.F) {
	s := &sealer.Sealer{Keys: []sealer.Key{key(1, 'a')}}
	f.Add("lockers", s.Seal("lockers", orderer.Position{Term: 1, Offset: 2}))
	f.Add("", "AQE")
	f.Fuzz(func(t *testing.T, service, token string) {
		p, err := s.Open(service, token)
		if err == nil && s.Seal(service, p) != token {
			t.Fatalf("opened %q, which was not sealed", token)
		}
	})
}
