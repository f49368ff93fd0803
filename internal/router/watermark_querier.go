package router

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/controller"
	"github.com/oriolegw/oriolegw/internal/observer"
)

type (
	// WatermarkWanted reports that a caller needs a watermark taken from now on: the position of its
	// last write is unknown, or it accepts no staleness.
	WatermarkWanted struct{ Service string }

	// WatermarkQuerier queries a group's members when a watermark is wanted, in addition to the
	// observer's periodic queries. Requests that arrive while a query is pending, or
	// within minQueryInterval of one, share the next query, so that a burst of callers
	// doesn't overload the members.
	WatermarkQuerier struct {
		groups map[string]*queryState
	}

	queryState struct {
		wanted      bool
		nextAllowed time.Time
	}
)

// minQueryInterval bounds the rate of queries to a group, and what a caller waits in
// addition to the round trip. With 9 instances, a member replies to at most 450 of these queries
// per second.
const minQueryInterval = 20 * time.Millisecond

// EventName implements controller.Event.
func (WatermarkWanted) EventName() string { return "watermark-wanted" }

// request records that a fresh watermark of a group is wanted.
func (q *WatermarkQuerier) request(service string) {
	if q.groups == nil {
		q.groups = map[string]*queryState{}
	}
	if q.groups[service] == nil {
		q.groups[service] = &queryState{}
	}
	q.groups[service].wanted = true
}

// dueQueries returns the queries that may be sent now. Members that don't respond are
// left to the observer: a watermark needs a majority only.
func (q *WatermarkQuerier) dueQueries(now time.Time, g *Group) []controller.Action {
	state := q.groups[g.Service.Name]
	if state == nil || !state.wanted || now.Before(state.nextAllowed) {
		return nil
	}
	state.wanted, state.nextAllowed = false, now.Add(minQueryInterval)
	var out []controller.Action
	for i, m := range g.Service.Members {
		if g.Members[i].Failures == 0 {
			out = append(out, observer.Poll{Service: g.Service.Name, Member: m, ClientWaiting: true})
		}
	}
	return out
}
