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

// promotionStep returns the owner of the promotion in progress once the promotion has
// completed a step, and "" before.
type promotionStep func(f *stager.Fleet) (owner string)

// fencedMembers is the step after n members have been fenced for a new term.
func fencedMembers(n int) promotionStep {
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

// promotedMember is the step after a member has become primary in a new term.
func promotedMember(f *stager.Fleet) string {
	for _, m := range f.Members {
		if s := m.Status(); s.Term > 1 && s.Role == replicator.RolePrimary {
			return s.Owner
		}
	}
	return ""
}

// intentRecorded is the step after the promotion's intent was written to the store.
func intentRecorded(f *stager.Fleet) string {
	p, err := f.Store.Get(f.Context(), promoter.RecordKey(stager.DefaultService))
	if err != nil || p.Revision == 0 {
		return ""
	}
	_, rest, _ := strings.Cut(string(p.Value), `"owner":"`)
	owner, _, _ := strings.Cut(rest, `"`)
	return owner
}

// checkPromotionRecord verifies that the store's record of the group is the last promotion.
func checkPromotionRecord(f *stager.Fleet) []checker.Violation {
	p, err := f.Store.Get(f.Context(), promoter.RecordKey(stager.DefaultService))
	primary := failer.Primary(f)
	want := fmt.Sprintf(`{"term":%d,"owner":%q,"primary":%q}`, primary.Status().Term, primary.Status().Owner, primary.Name)
	if err != nil || string(p.Value) != want {
		return []checker.Violation{{Guarantee: "the store has the record of the last promotion", Detail: string(p.Value) + " is not " + want}}
	}
	return nil
}

// TestStoreLearnsLater verifies that a promotion made while the store was down is recorded
// once the store is back, even if the first responses of the store are lost.
func TestStoreLearnsLater(t *testing.T) {
	r := runScenario(t, failer.Scenario{
		Prepare: withStoreFaults(func(s *storer.Faults) { s.Down = true }),
		Inject:  failer.Crash,
		Heal: func(f *stager.Fleet, p *stager.Target) {
			f.Store.SetFaults(func(s *storer.Faults) { s.Down, s.LoseResponses = false, 2 })
			f.RestartTarget(p)
		},
		Check: checkPromotionRecord,
	})
	must.Eq(t, 1, r.TermIncrease)
}

// awaitStep polls until the step is reached and returns the instance that owns the
// promotion, or nil after a timeout.
func awaitStep(f *stager.Fleet, reached promotionStep) *stager.Instance {
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

// TestPromoterFails verifies that another instance completes a promotion in a new term if
// its owner crashes or is partitioned from the members after any step, and that the
// members reject the old owner's delayed requests.
func TestPromoterFails(t *testing.T) {
	steps := []struct {
		name    string
		reached promotionStep
	}{
		{"intent recorded", intentRecorded},
		{"one member fenced", fencedMembers(1)},
		{"majority fenced", fencedMembers(2)},
		{"member promoted", promotedMember},
	}
	failures := []struct {
		name string
		fail func(f *stager.Fleet, e *stager.Instance) (revert func())
	}{
		{"crashes", func(f *stager.Fleet, e *stager.Instance) func() {
			f.KillInstance(e)
			return func() { f.StartInstance(e) }
		}},
		{"is partitioned", func(f *stager.Fleet, e *stager.Instance) func() {
			var reverts []func()
			for _, m := range f.Members {
				reverts = append(reverts, partition(f, e.IP, m.IP))
			}
			return func() {
				for _, revert := range reverts {
					revert()
				}
			}
		}},
		{"receives no responses", func(f *stager.Fleet, e *stager.Instance) func() {
			for _, m := range f.Members {
				f.Network.PartitionOneWay(m.IP, e.IP)
			}
			return f.Network.HealAll
		}},
	}
	for _, step := range steps {
		for _, failure := range failures {
			for _, storeDown := range []bool{false, true} {
				name := step.name + ", " + failure.name
				if storeDown {
					if step.name == "intent recorded" {
						continue // no intent is written while the store is down
					}
					name += ", store down"
				}
				t.Run(name, func(t *testing.T) {
					var revert func()
					r := runScenario(t, failer.Scenario{
						Plan:    stager.Plan{ZoneLatency: 5 * time.Millisecond},
						Prepare: withStoreFaults(func(f *storer.Faults) { f.Down = storeDown }),
						Inject: func(f *stager.Fleet, p *stager.Target) {
							f.KillTarget(p)
							e := awaitStep(f, step.reached)
							must.NotNil(t, e)
							revert = failure.fail(f, e)
							time.Sleep(5 * time.Second)
							revert()
						},
						Heal: restart,
					})
					must.Between(t, 1, r.TermIncrease, 2)
					must.LessEq(t, 4*time.Second, r.WriteGap)
				})
			}
		}
	}
}
