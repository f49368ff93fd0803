package starter

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
)

type (
	wireFleet struct {
		Service  string        `json:"service"`
		Platform wireProcess   `json:"platform"`
		Members  []wireProcess `json:"members"`
		Entries  []wireProcess `json:"entries"`
		Faults   []wireFault   `json:"faults"`
	}

	wireProcess struct {
		Name     string `json:"name"`
		Zone     string `json:"availability-zone,omitempty"`
		Address  string `json:"address"`
		Pages    string `json:"pages"`
		Peers    string `json:"peers,omitempty"`
		Settings string `json:"settings,omitempty"`
		Log      string `json:"log"`
		PID      int    `json:"pid"`
	}

	wireFault struct {
		Of     string `json:"of"`
		Fault  string `json:"fault"`
		Body   string `json:"post-to-pages-faults,omitempty"`
		Undo   string `json:"undo,omitempty"`
		Signal string `json:"signal,omitempty"`
	}
)

// Describe writes every address, and how to throw each fault, to a file.
func (f *Fleet) Describe(file string) error {
	w := wireFleet{Service: ServiceName, Platform: f.wire(f.Platform)}
	for _, x := range Faults {
		w.Faults = append(w.Faults, wireFault{Of: string(x.Of), Fault: x.Name, Body: x.Body, Undo: x.Undo, Signal: x.Signal})
	}
	for _, p := range f.Members {
		w.Members = append(w.Members, f.wire(p))
	}
	for _, p := range f.Entries {
		e := f.wire(p)
		e.Settings = f.SettingsFile(p)
		w.Entries = append(w.Entries, e)
	}
	text, err := json.MarshalIndent(w, "", "  ")
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

func (f *Fleet) wire(p Process) wireProcess {
	return wireProcess{
		Name: p.Name, Zone: p.Zone, Address: p.Address, Pages: p.Pages, Peers: p.Peers, Log: f.logFile(&p), PID: p.PID,
	}
}
