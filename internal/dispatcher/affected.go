package dispatcher

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/tabulator"
)

const (
	// minCountedWait is the least wait for a connection that is counted: a loan from another region
	// takes 16 ms, and 28 ms if the connection must be opened.
	minCountedWait = 50 * time.Millisecond

	// detailHolderQueue is the detail of a refusal because of the queue at the instance that holds
	// the connections.
	detailHolderQueue = "holder-queue"
	// The causes of served statements that waited or were late. causeWait means that the statement
	// would have been in time without the wait for its limit and a connection, causeRetried that
	// an attempt had failed, causeMember that the member or the network took too long.
	causeWait    = "wait"
	causeRetried = "retried"
	causeMember  = "member"
)

// refusedCause returns the cause under which a refusal is counted.
func refusedCause(reason Reason, detail string) string {
	if detail == "" {
		return string(reason)
	}
	return string(reason) + "/" + detail
}

// lateCause returns why a statement that took longer than the objective was late, given how long it
// waited and the number of failed attempts.
func lateCause(took, waited, objective time.Duration, attempts int) string {
	switch {
	case took-waited <= objective:
		return causeWait
	case attempts > 0:
		return causeRetried
	default:
		return causeMember
	}
}

// recordDelay counts a served statement that waited, or took longer than the route's objective.
func (x *execution) recordDelay(took time.Duration) {
	if x.checkoutWait >= minCountedWait {
		x.recordAffected(tabulator.Waited, causeWait)
	}
	if objective := x.route.LatencyObjective; objective > 0 && took > objective {
		x.recordAffected(tabulator.Late, lateCause(took, x.checkoutWait, objective, x.attempts))
	}
}

func (x *execution) recordAffected(kind tabulator.Kind, cause string) {
	x.session.server.recordAffected(tabulator.Key{Customer: x.customer, Class: x.route.Priority, Kind: kind, Cause: cause})
}

func (s *Server) recordAffected(k tabulator.Key) {
	if s.RecordAffected != nil {
		s.RecordAffected(k)
	}
}
