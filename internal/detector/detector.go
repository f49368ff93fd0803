// Package detector decides whether a primary is suspected of failure, based on this instance's
// own observations and on reports from other availability zones.
package detector

import "time"

// The kinds of evidence, from the weakest to the strongest.
const (
	EvidenceNone Evidence = iota
	// EvidenceSilent means no response on the open connection or a new one.
	EvidenceSilent
	// EvidenceStalled means that the primary responds but does not replicate.
	EvidenceStalled
	// EvidenceUnreachable means that new connections are refused or reset.
	EvidenceUnreachable
	// EvidenceLeaderless means that the members' newest term has no primary.
	EvidenceLeaderless
)

type (
	// Evidence is the reason for a suspicion.
	Evidence int

	// Suspected is emitted when this instance's suspicion of a member begins or ends. Other
	// instances receive it as gossiper.MemberReport.Suspected.
	Suspected struct {
		Service string
		// Member is empty when the newest term has no primary.
		Member string
		// Term is the term in which the member was primary.
		Term   uint64
		Active bool
		// Evidence describes the reason in one line.
		Evidence string
		// Age is the time since the last answered request was sent; negative if there is none.
		Age time.Duration
	}

	// FailureAgreed is emitted when enough availability zones share a suspicion to act on it, and
	// when that ends.
	FailureAgreed struct {
		Service  string
		Member   string
		Term     uint64
		Active   bool
		Evidence Evidence
	}
)

// EventName implements controller.Event.
func (Suspected) EventName() string { return "member-suspected" }

// EventName implements controller.Event.
func (FailureAgreed) EventName() string { return "failure-agreed" }

// String describes the evidence.
func (e Evidence) String() string {
	switch e {
	case EvidenceSilent:
		return "no response on the open connection or a new one"
	case EvidenceStalled:
		return "its writes reach no replica"
	case EvidenceUnreachable:
		return "new connections are refused"
	case EvidenceLeaderless:
		return "the newest term has no primary"
	}
	return "none"
}
