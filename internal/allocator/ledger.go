package allocator

import (
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

type (
	// Ledger is the division of a group's budget among instances: one value in the store that
	// changes only by compare-and-swap.
	Ledger struct {
		Holders []Holder
	}

	// Holder is one instance's share.
	Holder struct {
		// Instance is the instance's name; Process identifies one run of it.
		Instance string
		Process  string
		// Application is the application name of its connections at the group's members.
		Application string
		Connections int
	}

	wireLedger struct {
		Holders []wireHolder `json:"holders"`
	}

	wireHolder struct {
		Instance    string `json:"instance"`
		Process     string `json:"process"`
		Application string `json:"application"`
		Connections int    `json:"connections"`
	}
)

// Total returns how many connections all holders have.
func (l Ledger) Total() int {
	n := 0
	for _, h := range l.Holders {
		n += h.Connections
	}
	return n
}

func (l Ledger) find(application string) (Holder, bool) {
	i := slices.IndexFunc(l.Holders, func(h Holder) bool { return h.Application == application })
	if i < 0 {
		return Holder{}, false
	}
	return l.Holders[i], true
}

// withHolder returns a ledger in which the holder with its application name is replaced.
func (l Ledger) withHolder(h Holder) Ledger {
	l = l.withoutApplication(h.Application)
	l.Holders = append(l.Holders, h)
	slices.SortFunc(l.Holders, func(a, b Holder) int {
		if a.Application < b.Application {
			return -1
		}
		return 1
	})
	return l
}

func (l Ledger) withoutApplication(application string) Ledger {
	var out Ledger
	for _, h := range l.Holders {
		if h.Application != application {
			out.Holders = append(out.Holders, h)
		}
	}
	return out
}

// encodeLedger encodes a ledger as JSON.
func encodeLedger(l Ledger) []byte {
	w := wireLedger{Holders: []wireHolder{}}
	for _, h := range l.Holders {
		w.Holders = append(w.Holders, wireHolder{h.Instance, h.Process, h.Application, h.Connections})
	}
	text, err := json.Marshal(w)
	if err != nil {
		panic(err) // plain data always encodes
	}
	return text
}

// decodeLedger decodes a ledger. An empty text yields an empty ledger.
func decodeLedger(text []byte) (Ledger, error) {
	var l Ledger
	if len(text) == 0 {
		return l, nil
	}
	var w wireLedger
	if err := json.Unmarshal(text, &w); err != nil {
		return l, errors.Wrap(err, "ledger of shares")
	}
	for _, h := range w.Holders {
		l.Holders = append(l.Holders, Holder(h))
	}
	return l, nil
}
