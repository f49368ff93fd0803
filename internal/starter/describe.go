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

	// wireFault tells how to throw a fault: the body to POST to /faults of a
	// process of a kind, or a signal.
	wireFault struct {
		Of     string `json:"of"`
		Fault  string `json:"fault"`
		Body   string `json:"post-to-pages-faults,omitempty"`
		Undo   string `json:"undo,omitempty"`
		Signal string `json:"signal,omitempty"`
	}
)

var faults = []wireFault{
	{Of: "members", Fault: "freeze: the process stops as if paused", Body: `{"freeze": true}`, Undo: `{"freeze": false}`},
	{Of: "members", Fault: "refuse: new connections are closed", Body: `{"refuse": true}`, Undo: `{"refuse": false}`},
	{Of: "members", Fault: "lag: entries are visible late", Body: `{"replay-lag-ms": 3000}`, Undo: `{"replay-lag-ms": 0}`},
	{Of: "members", Fault: "lag: entries are received late", Body: `{"stream-lag-ms": 3000}`, Undo: `{"stream-lag-ms": 0}`},
	{Of: "members", Fault: "slow: each statement takes longer", Body: `{"slow-ms": 200}`, Undo: `{"slow-ms": 0}`},
	{Of: "members", Fault: "lose-answer: the next answer is lost after its effect", Body: `{"lose-answer": true}`},
	{Of: "members", Fault: "silence: open connections go silent for good, new ones work", Body: `{"silence": true}`},
	{Of: "platform", Fault: "down: the store and the list refuse every call", Body: `{"down": true}`, Undo: `{"down": false}`},
	{Of: "platform", Fault: "slow: each call takes longer", Body: `{"slow-ms": 2000}`, Undo: `{"slow-ms": 0}`},
	{Of: "platform", Fault: "lose-answers: the next writes take effect without answer", Body: `{"lose-answers": 1}`},
	{Of: "platform", Fault: "lapse: every lease ends", Body: `{"lapse": true}`},
	{Of: "platform", Fault: "list-lag: the instance list shows changes late", Body: `{"list-lag-ms": 60000}`, Undo: `{"list-lag-ms": 0}`},
	{Of: "any", Fault: "crash: kill the process by its pid", Signal: "KILL"},
	{Of: "any", Fault: "pause: the process is stopped and wakes later, unaware", Signal: "STOP", Undo: "CONT"},
	{Of: "entries", Fault: "graceful shutdown", Signal: "TERM"},
}

// Describe writes every address, and how to throw each fault, to a file.
func (f *Fleet) Describe(file string) error {
	w := wireFleet{Service: ServiceName, Platform: f.wire(f.Platform), Faults: faults}
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
