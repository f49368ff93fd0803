package keeper

import (
	"net/http"
	"sort"
	"time"

	"github.com/oriolegw/oriolegw/internal/lister"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// Register adds or changes an instance in the list.
func (k *Keeper) Register(i lister.Instance) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.changes = append(k.changes, listChange{at: time.Now(), instance: i})
}

// Remove takes an instance from the list.
func (k *Keeper) Remove(name string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.changes = append(k.changes, listChange{at: time.Now(), instance: lister.Instance{Name: name}, gone: true})
}

// Instances returns the list as it stood ListLag ago.
func (k *Keeper) Instances() []lister.Instance {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	seen := map[string]lister.Instance{}
	for _, c := range k.changes {
		if now.Sub(c.at) < k.ListLag {
			continue
		}
		if c.gone {
			delete(seen, c.instance.Name)
			continue
		}
		seen[c.instance.Name] = c.instance
	}
	out := make([]lister.Instance, 0, len(seen))
	for _, i := range seen {
		out = append(out, i)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (k *Keeper) handleList(w http.ResponseWriter, r *http.Request) {
	// The list shares the service's fate: when the store is down, so is it.
	if _, err := k.Store.Get(r.Context(), lister.Path); err != nil {
		refuse(w, err)
		return
	}
	reply(w, lister.ToWire(k.Instances()))
}

func (k *Keeper) handleRegister(w http.ResponseWriter, r *http.Request) {
	var ask lister.WireInstance
	if !take(w, r, &ask) {
		return
	}
	if ask.State == lister.WireGone {
		k.Remove(ask.Name)
	} else {
		k.Register(lister.FromWire(ask))
	}
	reply(w, struct{}{})
}

// wireFaults is the body of a fault switch; an absent field changes nothing.
type wireFaults struct {
	Down        *bool `json:"down"`
	SlowMS      *int  `json:"slow-ms"`
	LoseAnswers *int  `json:"lose-answers"`
	ListLagMS   *int  `json:"list-lag-ms"`
	Lapse       bool  `json:"lapse"`
}

func (k *Keeper) handleFaults(w http.ResponseWriter, r *http.Request) {
	var ask wireFaults
	if !take(w, r, &ask) {
		return
	}
	k.Store.SetFaults(func(f *storer.Faults) {
		if ask.Down != nil {
			f.Down = *ask.Down
		}
		if ask.SlowMS != nil {
			f.Latency = time.Duration(*ask.SlowMS) * time.Millisecond
		}
		if ask.LoseAnswers != nil {
			f.LoseResponses = *ask.LoseAnswers
		}
	})
	if ask.ListLagMS != nil {
		k.mutex.Lock()
		k.ListLag = time.Duration(*ask.ListLagMS) * time.Millisecond
		k.mutex.Unlock()
	}
	if ask.Lapse {
		k.Store.ExpireLeases()
	}
	reply(w, struct{}{})
}
