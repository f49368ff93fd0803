package replicator

import (
	"encoding/json"
	"net/http"
	"time"
)

// wireFaults is the body of a fault injection request; absent fields change nothing.
type wireFaults struct {
	Freeze      *bool `json:"freeze"`
	Refuse      *bool `json:"refuse"`
	Leaving     *bool `json:"leaving"`
	ReplayLagMS *int  `json:"replay-lag-ms"`
	StreamLagMS *int  `json:"stream-lag-ms"`
	SlowMS      *int  `json:"slow-ms"`
	LoseAnswer  bool  `json:"lose-answer"`
	Silence     bool  `json:"silence"`
}

// Handler serves fault injection, the status and the journal over HTTP.
func (m *Member) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", m.handleFaults)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(m.Status()) })
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(m.Journal()) })
	return mux
}

func (m *Member) handleFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	var f wireFaults
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Freeze != nil {
		if *f.Freeze {
			m.Faults.Freeze()
		} else {
			m.Faults.Unfreeze()
		}
	}
	if f.Refuse != nil {
		m.Faults.SetRefuseConnections(*f.Refuse)
	}
	if f.Leaving != nil {
		m.Faults.SetShuttingDown(*f.Leaving)
	}
	for _, d := range []struct {
		value *int
		set   func(time.Duration)
	}{{f.ReplayLagMS, m.Faults.SetReplayLag}, {f.StreamLagMS, m.Faults.SetStreamLag}, {f.SlowMS, m.Faults.SetStatementDelay}} {
		if d.value != nil {
			d.set(time.Duration(*d.value) * time.Millisecond)
		}
	}
	if f.LoseAnswer {
		m.Faults.DropNextResponse()
	}
	if f.Silence {
		m.BlackholeConnections()
	}
}
