package keeper

import (
	"net/http"
	"sort"
	"time"

	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// Register adds or updates an instance in the list.
func (k *Keeper) Register(i lister.Instance) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.changes = append(k.changes, listChange{at: time.Now(), instance: i})
}

// Remove removes an instance from the list.
func (k *Keeper) Remove(name string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.changes = append(k.changes, listChange{at: time.Now(), instance: lister.Instance{Name: name}, removed: true})
}

// Instances returns the list as of ListLag ago, sorted by name.
func (k *Keeper) Instances() []lister.Instance {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	current := map[string]lister.Instance{}
	for _, c := range k.changes {
		if now.Sub(c.at) < k.ListLag {
			continue
		}
		if c.removed {
			delete(current, c.instance.Name)
			continue
		}
		current[c.instance.Name] = c.instance
	}
	out := make([]lister.Instance, 0, len(current))
	for _, i := range current {
		out = append(out, i)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (k *Keeper) handleList(w http.ResponseWriter, r *http.Request) {
	// The list fails whenever the store fails.
	if _, err := k.Store.Get(r.Context(), lister.Path); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, lister.ToWire(k.Instances()))
}

func (k *Keeper) handleRegister(w http.ResponseWriter, r *http.Request) {
	var request lister.WireInstance
	if !decodeRequest(w, r, &request) {
		return
	}
	if request.State == lister.WireGone {
		k.Remove(request.Name)
	} else {
		k.Register(lister.FromWire(request))
	}
	writeJSON(w, struct{}{})
}

// wireFaults is the body of a fault injection request; absent fields change nothing.
type wireFaults struct {
	Down        *bool `json:"down"`
	SlowMS      *int  `json:"slow-ms"`
	LoseAnswers *int  `json:"lose-answers"`
	ListLagMS   *int  `json:"list-lag-ms"`
	Lapse       bool  `json:"lapse"`
}

func (k *Keeper) handleFaults(w http.ResponseWriter, r *http.Request) {
	var request wireFaults
	if !decodeRequest(w, r, &request) {
		return
	}
	k.Store.SetFaults(func(f *storer.Faults) {
		if request.Down != nil {
			f.Down = *request.Down
		}
		if request.SlowMS != nil {
			f.Latency = time.Duration(*request.SlowMS) * time.Millisecond
		}
		if request.LoseAnswers != nil {
			f.LoseResponses = *request.LoseAnswers
		}
	})
	if request.ListLagMS != nil {
		k.mutex.Lock()
		k.ListLag = time.Duration(*request.ListLagMS) * time.Millisecond
		k.mutex.Unlock()
	}
	if request.Lapse {
		k.Store.ExpireLeases()
	}
	writeJSON(w, struct{}{})
}
