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
	// State is the state of an instance, as its status page shows it.
	State struct {
		Instance string
		Zone     string
		// Version is the version of the configuration in force, or 0.
		Version int64
		Leaving bool
		Groups  []GroupState
	}

	// GroupState is the instance's view of a group.
	GroupState struct {
		Service string
		Term    uint64
		// Primary is the name of the primary, or empty if unknown.
		Primary string
		// Connections is the number of connections from the instance to the group,
		// MaxConnections the instance's share.
		Connections, MaxConnections int
		Members                     []MemberState
	}

	// MemberState is the instance's view of a target.
	MemberState struct {
		Name     string
		Address  string
		Zone     string
		Role     string
		Term     uint64
		Received string
		Replayed string
		// SinceStatusQuery is the time since the status query that returned this state was
		// sent. It is negative if the member has never responded.
		SinceStatusQuery time.Duration
		Failures         int
		Leaving          bool
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

// GroupStates returns the states of the groups in a routing table, in the order of the document.
func GroupStates(t *router.Table, now time.Time) []GroupState {
	if t == nil || t.Document == nil {
		return nil
	}
	var out []GroupState
	for _, s := range t.Document.Services {
		if g := t.Group(s.Name); g != nil {
			out = append(out, describeGroup(g, now))
		}
	}
	return out
}

func describeGroup(g *router.Group, now time.Time) GroupState {
	s := GroupState{Service: g.Service.Name, Term: g.Term}
	for i, m := range g.Members {
		c := g.Service.Members[i]
		n := MemberState{
			Name: c.Name, Address: c.Address, Zone: c.Zone, Leaving: c.Leaving,
			Role: m.Status.Role, Term: m.Status.Term, SinceStatusQuery: -1, Failures: m.Failures,
			Received: m.Status.Received.String(), Replayed: m.Status.Replayed.String(),
		}
		if !m.LastQueried.IsZero() {
			n.SinceStatusQuery = now.Sub(m.LastQueried)
		}
		if i == g.Primary {
			s.Primary = c.Name
		}
		s.Members = append(s.Members, n)
	}
	return s
}

// NotReadyReason returns why the instance is not ready, or "" if it is.
func (s State) NotReadyReason() string {
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

// Encode encodes the state as JSON.
func (s State) Encode() []byte {
	w := wireState{Instance: s.Instance, Zone: s.Zone, Version: s.Version, Leaving: s.Leaving, Groups: []wireGroup{}}
	for _, g := range s.Groups {
		v := wireGroup{Service: g.Service, Term: g.Term, Primary: g.Primary, Connections: g.Connections, Share: g.MaxConnections}
		for _, m := range g.Members {
			v.Members = append(v.Members, wireMember{
				Name: m.Name, Address: m.Address, Zone: m.Zone, Role: m.Role, Term: m.Term, Received: m.Received,
				Replayed: m.Replayed, AgeMS: m.SinceStatusQuery.Milliseconds(), Failures: m.Failures, Leaving: m.Leaving,
			})
		}
		w.Groups = append(w.Groups, v)
	}
	return encode(w)
}

func encode(v any) []byte {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err) // marshaling plain structs can't fail
	}
	return append(text, '\n')
}

// Decode decodes a state from the JSON of Encode.
func Decode(text []byte) (State, error) {
	var w wireState
	if err := json.Unmarshal(text, &w); err != nil {
		return State{}, errors.Wrap(err, "decode state")
	}
	s := State{Instance: w.Instance, Zone: w.Zone, Version: w.Version, Leaving: w.Leaving}
	for _, g := range w.Groups {
		v := GroupState{Service: g.Service, Term: g.Term, Primary: g.Primary, Connections: g.Connections, MaxConnections: g.Share}
		for _, m := range g.Members {
			v.Members = append(v.Members, MemberState{
				Name: m.Name, Address: m.Address, Zone: m.Zone, Role: m.Role, Term: m.Term, Received: m.Received,
				Replayed: m.Replayed, SinceStatusQuery: time.Duration(m.AgeMS) * time.Millisecond, Failures: m.Failures, Leaving: m.Leaving,
			})
		}
		s.Groups = append(s.Groups, v)
	}
	return s, nil
}

// Text formats the state as human-readable text.
func (s State) Text() string {
	var out strings.Builder
	ready := "ready"
	if reason := s.NotReadyReason(); reason != "" {
		ready = "not ready: " + reason
	}
	fmt.Fprintf(&out, "instance %s in %s, %s, configuration version %d\n", s.Instance, s.Zone, ready, s.Version)
	for _, g := range s.Groups {
		primary := g.Primary
		if primary == "" {
			primary = "unknown"
		}
		fmt.Fprintf(&out, "\nservice %s: term %d, primary %s%s\n", g.Service, g.Term, primary, g.connectionText())
		t := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  member\tzone\trole\tterm\treceived\treplayed\tqueried\tfailures\t")
		for _, m := range g.Members {
			fmt.Fprintf(t, "  %s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s\n", m.Name, m.Zone, m.Role, m.Term, m.Received, m.Replayed, formatAge(m.SinceStatusQuery), m.Failures, formatLeaving(m.Leaving))
		}
		_ = t.Flush()
	}
	return out.String()
}

// connectionText formats the connection counts; empty if there are none yet.
func (g GroupState) connectionText() string {
	if g.MaxConnections == 0 && g.Connections == 0 {
		return ""
	}
	return fmt.Sprintf(", %d of %d connections", g.Connections, g.MaxConnections)
}

func formatAge(age time.Duration) string {
	if age < 0 {
		return "no response yet"
	}
	return age.Round(time.Millisecond).String() + " ago"
}

func formatLeaving(isLeaving bool) string {
	if isLeaving {
		return "leaving"
	}
	return ""
}

// EncodeDecisions encodes routing decisions as JSON.
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
