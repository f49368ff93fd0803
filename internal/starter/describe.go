package starter

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

type (
	fleetDescription struct {
		Service  string               `json:"service"`
		Platform processDescription   `json:"platform"`
		Members  []processDescription `json:"members"`
		Entries  []processDescription `json:"entries"`
		Faults   []faultDescription   `json:"faults"`
	}

	processDescription struct {
		Name     string `json:"name"`
		Zone     string `json:"availability-zone,omitempty"`
		Address  string `json:"address"`
		Pages    string `json:"pages"`
		Peers    string `json:"peers,omitempty"`
		Settings string `json:"settings,omitempty"`
		Log      string `json:"log"`
		PID      int    `json:"pid"`
	}

	faultDescription struct {
		Of     string `json:"of"`
		Fault  string `json:"fault"`
		Body   string `json:"post-to-pages-faults,omitempty"`
		Undo   string `json:"undo,omitempty"`
		Signal string `json:"signal,omitempty"`
	}
)

// WriteDescription writes the addresses of all processes and the available faults to a JSON file.
func (f *Fleet) WriteDescription(file string) error {
	d := fleetDescription{Service: ServiceName, Platform: f.describeProcess(f.Platform)}
	for _, x := range Faults {
		d.Faults = append(d.Faults, faultDescription{Of: string(x.AppliesTo), Fault: x.Name, Body: x.Body, Undo: x.Undo, Signal: x.Signal})
	}
	for _, p := range f.Members {
		d.Members = append(d.Members, f.describeProcess(p))
	}
	for _, p := range f.Instances {
		e := f.describeProcess(p)
		e.Settings = f.SettingsFile(p)
		d.Entries = append(d.Entries, e)
	}
	text, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return errors.Wrap(err, "describe fleet")
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return errors.Wrap(err, "describe fleet")
	}
	if err := os.WriteFile(file, append(text, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "describe fleet")
	}
	return nil
}

func (f *Fleet) describeProcess(p Process) processDescription {
	return processDescription{
		Name: p.Name, Zone: p.Zone, Address: p.Address, Pages: p.PagesAddress, Peers: p.PeerAddress, Log: f.logFile(&p), PID: p.PID,
	}
}
