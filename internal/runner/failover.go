package runner

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/internal/promoter"
)

// externalEvents passes the events of Instance.Events to the other slices.
type externalEvents struct{ events <-chan controller.Event }

// Step implements controller.Slice.
func (s *externalEvents) Step(_ time.Time, e controller.Event) []controller.Action {
	if _, tick := e.(controller.Tick); !tick {
		return nil
	}
	var out []controller.Action
	for {
		select {
		case e := <-s.events:
			out = append(out, controller.Emit{Event: e})
		default:
			return out
		}
	}
}

// failoverLogger logs and counts suspected members and promotions.
type failoverLogger struct{ instance *Instance }

// newRandom returns a random number generator seeded by Instance.Seed.
func (i *Instance) newRandom() *rand.Rand {
	seed := i.Seed
	if seed == 0 {
		var b [8]byte
		_, _ = crand.Read(b[:]) // never fails
		seed = binary.LittleEndian.Uint64(b[:])
	}
	return rand.New(rand.NewPCG(seed, seed))
}

// failoverSlices returns the slices and the performer that detect failed primaries and
// promote replicas. The fencing owner is unique for each process of an instance.
func (i *Instance) failoverSlices(members commander.Commander) ([]controller.Slice, controller.Performer) {
	random := i.newRandom()
	owner := i.Settings.Name + "/" + strconv.FormatUint(random.Uint64(), 36)
	return []controller.Slice{
		&detector.Slice{Zone: i.Settings.Zone},
		&promoter.Slice{Name: i.Settings.Name, Owner: owner, Random: random},
		&failoverLogger{instance: i},
		&externalEvents{events: i.Events},
	}, &promoter.Performer{Commander: members, Store: i.Store}
}

// Step implements controller.Slice.
func (l *failoverLogger) Step(_ time.Time, e controller.Event) []controller.Action {
	switch e := e.(type) {
	case detector.Suspected:
		if e.Active {
			l.count("suspected")
			l.log("Member is suspected.", "service", e.Service, "member", e.Member, "term", e.Term, "evidence", e.Evidence, "answer-age", e.Age)
		} else {
			l.log("Suspicion has ended.", "service", e.Service, "member", e.Member, "term", e.Term)
		}
	case detector.FailureAgreed:
		if e.Active {
			l.log("Failure is agreed.", "service", e.Service, "member", e.Member, "term", e.Term, "evidence", e.Evidence)
		} else {
			l.log("Agreement has ended.", "service", e.Service, "member", e.Member, "term", e.Term)
		}
	case promoter.PromotionStarted:
		l.log("Promotion begins.", "service", e.Service, "replaces", e.Member, "term", e.Term, "planned", e.Planned, "evidence", e.Evidence)
	case promoter.Promoted:
		l.count("promoted")
		l.log("Member was promoted.", "service", e.Service, "member", e.Member, "term", e.Term, "planned", e.Planned, "took", e.Duration)
	case promoter.Abandoned:
		l.count("promotion-abandoned." + string(e.Reason))
		l.log("Promotion was abandoned.", "service", e.Service, "term", e.Term, "reason", string(e.Reason))
	}
	return nil
}

func (l *failoverLogger) count(name string) { l.instance.Metrics.Counter(name).Inc(1) }

func (l *failoverLogger) log(text string, pairs ...any) {
	_ = l.instance.Log.Log(append([]any{"part", "terms", "msg", text}, pairs...)...)
}
