// Package loader reads the settings of an entry instance: JSON with comments.
package loader

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"
)

type (
	// Settings are what an instance is told at its start. Everything else is in
	// the configuration document.
	Settings struct {
		Name string
		Zone string
		// Callers is where callers connect, Peers where other instances do, and
		// Status where the HTTP pages are; each "ip:port".
		Callers, Peers, Status string
		// Platform is the address of the platform's service.
		Platform  string
		TokenKeys []TokenKey
	}

	// TokenKey is a secret for session tokens, shared by the fleet.
	TokenKey struct {
		Number uint8
		Secret string
	}

	wireSettings struct {
		Name      string         `json:"name"`
		Zone      string         `json:"availability-zone"`
		Callers   string         `json:"callers-address"`
		Peers     string         `json:"peers-address"`
		Status    string         `json:"status-address"`
		Platform  string         `json:"platform-address"`
		TokenKeys []wireTokenKey `json:"token-keys"`
	}

	wireTokenKey struct {
		Number uint8  `json:"number"`
		Secret string `json:"secret"`
	}
)

// Load reads a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Decode(text)
}

// Decode reads settings from text.
func Decode(text []byte) (*Settings, error) {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	in := json.NewDecoder(bytes.NewReader(plain))
	in.DisallowUnknownFields()
	var w wireSettings
	if err := in.Decode(&w); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s := &Settings{Name: w.Name, Zone: w.Zone, Callers: w.Callers, Peers: w.Peers, Status: w.Status, Platform: w.Platform}
	for _, k := range w.TokenKeys {
		s.TokenKeys = append(s.TokenKeys, TokenKey{Number: k.Number, Secret: k.Secret})
	}
	return s, nil
}
