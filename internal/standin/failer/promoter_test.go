package failer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/oriolegw/oriolegw/internal/promoter"
	"github.com/oriolegw/oriolegw/internal/standin/checker"
	"github.com/oriolegw/oriolegw/internal/standin/failer"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
	"github.com/shoenig/test/must"
)

// stage is a moment of a promotion, seen from outside: it returns the owner of
// the promotion once it is reached.
type stage func(f *stager.Fleet) (owner string)

// fencedMembers is reached when n members obey a newer term without primary.
func fencedMembers(n int) stage {
	return func(f *stager.Fleet) string {
		owner, fenced := "", 0
		for _, m := range f.Members {
			if s := m.Status(); s.Term > 1 && s.Role == replicator.RoleFenced {
				owner = s.Owner
				fenced++
			}
		}
		if fenced < n {
			return ""
		}
		return owner
	}
}

func promotedMember(f *stager.Fleet) string {
	for _, m := range f.Members {
		if s := m.Status(); s.Term > 1 && s.Role == replicator.RolePrimary {
			return s.Owner
		}
	}
	return ""
}

func intentRecorded(f *stager.Fleet) string {
	p, err := f.Store.Get(f.Context(), promoter.Key(stager.DefaultService))
	if err != nil || p.Revision == 0 {
		return ""
	}
	_, rest, _ := strings.Cut(string(p.Value), `"owner":"`)
	owner, _, _ := strings.Cut(rest, `"`)
	return owner
}

// recorded reports a store whose record of the group is not the newest promotion.
func recorded(f *stager.Fleet) []checker.Violation {
	p, err := f.Store.Get(f.Context(), promoter.Key(stager.DefaultService))
	primary := failer.Primary(f)
	want := fmt.Sprintf(`{"term":%d,"owner":%q,"primary":%q}`, primary.Status().Term, primary.Status().Owner, primary.Name)
	if err != nil || string(p.Value) != want {
		return []checker.Violation{{Promise: "the store holds the newest promotion", Detail: string(p.Value) + " is not " + want}}
	}
	return nil
}

// The store is down while the primary is replaced, and loses answers when it is
// back. The record of the promotion gets there all the same.
func TestStoreLearnsLater(t *testing.T) {
	r := play(t, failer.Scenario{
		Before: store(func(s *storer.Faults) { s.Down = true }),
		Fault:  failer.Crash,
		Heal: func(f *stager.Fleet, p *stager.Target) {
			f.Store.SetFaults(func(s *storer.Faults) { s.Down, s.LoseResponses = false, 2 })
			f.RestartTarget(p)
		},
		Check: recorded,
	})
	must.Eq(t, 1, r.Terms)
}

// await polls until the stage is reached and returns the promoter's instance.
func await(f *stager.Fleet, reached stage) *stager.Entry {
	for range 20000 {
		time.Sleep(500 * time.Microsecond)
		name, _, _ := strings.Cut(reached(f), "/")
		for _, e := range f.Instances {
			if e.Name == name {
				return e
			}
		}
	}
	return nil
}

// The primary dies, and the instance that replaces it dies as well, or is cut off
// from all members, after each of its steps. Another instance takes over with a
// newer term. An instance that was cut off gets its orders through later, when
// the group has long moved on: no member may obey them.
func TestPromoterFails(t *testing.T) {
	stages := []struct {
		name    string
		reached stage
	}{
		{"intent recorded", intentRecorded},
		{"one member fenced", fencedMembers(1)},
		{"majority fenced", fencedMembers(2)},
		{"member promoted", promotedMember},
	}
	ways := []struct {
		name string
		fail func(f *stager.Fleet, e *stager.Entry) (undo func())
	}{
		{"dies", func(f *stager.Fleet, e *stager.Entry) func() {
			f.KillInstance(e)
			return func() { f.StartInstance(e) }
		}},
		{"is cut off", func(f *stager.Fleet, e *stager.Entry) func() {
			var undo []func()
			for _, m := range f.Members {
				undo = append(undo, cutAndHeal(f, e.IP, m.IP))
			}
			return func() {
				for _, u := range undo {
					u()
				}
			}
		}},
		{"hears no answers", func(f *stager.Fleet, e *stager.Entry) func() {
			for _, m := range f.Members {
				f.Net.CutOneWay(m.IP, e.IP)
			}
			return f.Net.HealAll
		}},
	}
	for _, s := range stages {
		for _, w := range ways {
			for _, down := range []bool{false, true} {
				name := s.name + ", " + w.name
				if down {
					if s.name == "intent recorded" {
						continue // there is none
					}
					name += ", store down"
				}
				t.Run(name, func(t *testing.T) {
					var undo func()
					r := play(t, failer.Scenario{
						Plan:   stager.Plan{ZoneLatency: 5 * time.Millisecond},
						Before: store(func(f *storer.Faults) { f.Down = down }),
						Fault: func(f *stager.Fleet, p *stager.Target) {
							f.KillTarget(p)
							e := await(f, s.reached)
							must.NotNil(t, e)
							undo = w.fail(f, e)
							time.Sleep(5 * time.Second)
							undo()
						},
						Heal: restart,
					})
					must.Between(t, 1, r.Terms, 2)
					must.LessEq(t, 4*time.Second, r.Gap)
				})
			}
		}
	}
}
