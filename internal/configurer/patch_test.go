package configurer_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/shoenig/test/must"
)

func encodedDocument(services int) []byte {
	p := &configurer.Document{}
	for i := range services {
		p.Services = append(p.Services, configurer.Service{Name: fmt.Sprintf("service-%d", i), Connections: 60, Members: service("m1", "m2", "m3").Members})
	}
	return configurer.Encode(p)
}

// Applying the patch must yield the new document, and small changes must yield small patches.
func TestPatch(t *testing.T) {
	base := encodedDocument(200)
	for _, c := range []struct {
		name string
		next []byte
		most int
	}{
		{"same", base, 100},
		{"one line", bytes.Replace(base, []byte(`"connections": 60`), []byte(`"connections": 61`), 1), 2000},
		{"service added", encodedDocument(201), 4000},
		{"service removed", encodedDocument(199), 2000},
		{"everything", []byte("{}"), 200},
		{"nothing", nil, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := configurer.MakePatch(base, c.next)
			got, err := p.Apply(base)
			must.NoError(t, err)
			must.Eq(t, string(c.next), string(got))
			must.LessEq(t, c.most, p.Size())
		})
	}
}

// Applying the patch between any two texts to the first must yield the second.
func TestPatchOfRandomTexts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	line := func() []byte { return []byte(fmt.Sprintf("line %d\n", random.IntN(20))) }
	for range 500 {
		var base, next []byte
		for range random.IntN(60) {
			base = append(base, line()...)
		}
		for range random.IntN(60) {
			next = append(next, line()...)
		}
		got, err := configurer.MakePatch(base, next).Apply(base)
		must.NoError(t, err)
		must.Eq(t, string(next), string(got))
	}
}

// A patch with a wrong base or invalid ranges must fail rather than yield a wrong document.
func TestPatchRejectsMismatch(t *testing.T) {
	base := encodedDocument(10)
	p := configurer.MakePatch(base, encodedDocument(11))
	for name, bad := range map[string]func() error{
		"other base": func() error { _, err := p.Apply(encodedDocument(9)); return err },
		"base of the same length": func() error {
			_, err := p.Apply(bytes.ReplaceAll(base, []byte(`": 60`), []byte(`": 61`)))
			return err
		},
		"empty base": func() error { _, err := p.Apply(nil); return err },
		"range too large": func() error {
			p := p
			p.Steps = []configurer.Step{{From: 0, To: 1 << 30}}
			_, err := p.Apply(base)
			return err
		},
		"range backwards": func() error {
			p := p
			p.Steps = []configurer.Step{{From: 9, To: 3}}
			_, err := p.Apply(base)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) { must.ErrorIs(t, bad(), configurer.ErrPatchMismatch) })
	}
}
