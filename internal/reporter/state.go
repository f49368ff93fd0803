package reporter

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/router"
)

type (
	// State is what an instance shows of itself.
	State struct {
		Instance string
		Zone     string
		// Version is that of the configuration in force; 0 is none.
		Version int64
		Leaving bool
		Groups  []GroupState
	}

	// GroupState is what the instance knows of one group.
	GroupState struct {
		Service string
		Term    uint64
		// Primary is the member's name, empty when none is known.
		Primary string
		// Connections is how many connections to the group the instance holds,
		// Share how many it may.
		Connections, Share int
		Members            []MemberState
	}

	// MemberState is what the instance knows of one target.
	MemberState struct {
		Name     string
		Address  string
		Zone     string
		Role     string
		Term     uint64
		Received string
		Replayed string
		// Age is how long ago the question was sent that gave this; negative
		// when the member never answered.
		Age      time.Duration
		Failures int
		Leaving  bool
	}

	wireState struct {
		Instance string      `json:"instance"`
		Zone     string      `json:"availability-zone"`
		Version  int64       `json:"configuration-version"`
		Leaving  bool        `json:"leaving"`
		Groups   []wireGroup `json:"groups"`
	}

	wireGroup struct {
		Service     string       `json:"service"`
		Term        uint64       `json:"term"`
		Primary     string       `json:"primary"`
		Connections int          `json:"connections"`
		Share       int          `json:"share"`
		Members     []wireMember `json:"members"`
	}

	wireMember struct {
		Name     string `json:"name"`
		Address  string `json:"address"`
		Zone     string `json:"availability-zone"`
		Role     string `json:"role"`
		Term     uint64 `json:"term"`
		Received string `json:"received"`
		Replayed string `json:"replayed"`
		AgeMS    int64  `json:"age-ms"`
		Failures int    `json:"failures"`
		Leaving  bool   `json:"leaving"`
	}

	wireDecision struct {
		At       time.Time `json:"at"`
		Service  string    `json:"service"`
		Kind     string    `json:"kind"`
		Read     bool      `json:"read"`
		Target   string    `json:"target"`
		Replica  bool      `json:"replica"`
		Why      string    `json:"why"`
		Code     string    `json:"refusal"`
		WaitedMS float64   `json:"waited-ms"`
	}
)

// Describe makes the state of the groups of a table, in the document's order.
func Describe(t *router.Table, now time.Time) []GroupState {
	if t == nil || t.Document == nil {
		return nil
	}
	var out []GroupState
	for _, s := range t.Document.Services {
		if g := t.Group(s.Name); g != nil {
			out = append(out, describe(g, now))
		}
	}
	return out
}

func describe(g *router.Group, now time.Time) GroupState {
	s := GroupState{Service: g.Service.Name, Term: g.Term}
	for i, m := range g.Members {
		c := g.Service.Members[i]
		n := MemberState{
			Name: c.Name, Address: c.Address, Zone: c.Zone, Leaving: c.Leaving,
			Role: m.Status.Role, Term: m.Status.Term, Age: -1, Failures: m.Failures,
			Received: m.Status.Received.String(), Replayed: m.Status.Replayed.String(),
		}
		if !m.LastQueried.IsZero() {
			n.Age = now.Sub(m.LastQueried)
		}
		if i == g.Primary {
			s.Primary = c.Name
		}
		s.Members = append(s.Members, n)
	}
	return s
}

// Lacking says what an instance lacks before it can serve; empty means ready.
func (s State) Lacking() string {
	switch {
	case s.Leaving:
		return "leaving"
	case s.Version == 0:
		return "no configuration yet"
	}
	for _, g := range s.Groups {
		if g.Primary == "" {
			return "no primary for " + g.Service
		}
	}
	return ""
}

// Encode writes a state as JSON.
func (s State) Encode() []byte {
	w := wireState{Instance: s.Instance, Zone: s.Zone, Version: s.Version, Leaving: s.Leaving, Groups: []wireGroup{}}
	for _, g := range s.Groups {
		v := wireGroup{Service: g.Service, Term: g.Term, Primary: g.Primary, Connections: g.Connections, Share: g.Share}
		for _, m := range g.Members {
			v.Members = append(v.Members, wireMember{
				Name: m.Name, Address: m.Address, Zone: m.Zone, Role: m.Role, Term: m.Term, Received: m.Received,
				Replayed: m.Replayed, AgeMS: m.Age.Milliseconds(), Failures: m.Failures, Leaving: m.Leaving,
			})
		}
		w.Groups = append(w.Groups, v)
	}
	return encode(w)
}

func encode(v any) []byte {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err) // plain data always encodes
	}
	return append(text, '\n')
}

// Decode reads what Encode wrote.
func Decode(text []byte) (State, error) {
	var w wireState
	if err := json.Unmarshal(text, &w); err != nil {
		return State{}, errors.Wrap(err, "decode state")
	}
	s := State{Instance: w.Instance, Zone: w.Zone, Version: w.Version, Leaving: w.Leaving}
	for _, g := range w.Groups {
		v := GroupState{Service: g.Service, Term: g.Term, Primary: g.Primary, Connections: g.Connections, Share: g.Share}
		for _, m := range g.Members {
			v.Members = append(v.Members, MemberState{
				Name: m.Name, Address: m.Address, Zone: m.Zone, Role: m.Role, Term: m.Term, Received: m.Received,
				Replayed: m.Replayed, Age: time.Duration(m.AgeMS) * time.Millisecond, Failures: m.Failures, Leaving: m.Leaving,
			})
		}
		s.Groups = append(s.Groups, v)
	}
	return s, nil
}

// Text writes a state for readers.
func (s State) Text() string {
	var out strings.Builder
	ready := "ready"
	if l := s.Lacking(); l != "" {
		ready = "not ready: " + l
	}
	fmt.Fprintf(&out, "instance %s in %s, %s, configuration version %d\n", s.Instance, s.Zone, ready, s.Version)
	for _, g := range s.Groups {
		primary := g.Primary
		if primary == "" {
			primary = "none known"
		}
		fmt.Fprintf(&out, "\nservice %s: term %d, primary %s%s\n", g.Service, g.Term, primary, g.share())
		t := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  member\tzone\trole\tterm\treceived\treplayed\tasked\tfailures\t")
		for _, m := range g.Members {
			fmt.Fprintf(t, "  %s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Zone, m.Role, m.Term, m.Received, m.Replayed, asked(m.Age), m.Failures, leaving(m.Leaving))
		}
		_ = t.Flush()
	}
	return out.String()
}

// share is empty for a group that the instance has no connections to yet.
func (g GroupState) share() string {
	if g.Share == 0 && g.Connections == 0 {
		return ""
	}
	return fmt.Sprintf(", %d of %d connections", g.Connections, g.Share)
}

func asked(age time.Duration) string {
	if age < 0 {
		return "never answered"
	}
	return age.Round(time.Millisecond).String() + " ago"
}

func leaving(l bool) string {
	if l {
		return "leaving"
	}
	return ""
}

// EncodeDecisions writes decisions as JSON.
func EncodeDecisions(list []router.Decision) []byte {
	w := []wireDecision{}
	for _, d := range list {
		w = append(w, wireDecision{
			At: d.At, Service: d.Service, Kind: d.Kind, Read: d.Read, Target: d.Target, Replica: d.Replica,
			Why: d.Reason, Code: d.Code, WaitedMS: float64(d.Waited.Microseconds()) / 1000,
		})
	}
	return encode(w)
}
