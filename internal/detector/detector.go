// Package detector decides whether a primary is suspected of having failed, from
// what this instance has seen of it and what instances of other availability
// zones report.
package detector

import "time"

// The kinds of evidence, from none to the strongest.
const (
	EvidenceNone Evidence = iota
	// EvidenceSilent: no answer on the kept connection, nor on a fresh one.
	EvidenceSilent
	// EvidenceStalled: the primary answers, and what it writes stops at it.
	EvidenceStalled
	// EvidenceUnreachable: fresh connections are refused or reset.
	EvidenceUnreachable
	// EvidenceHeadless: the members obey a term that has no primary.
	EvidenceHeadless
)

type (
	// Evidence is what a suspicion rests on.
	Evidence int

	// Suspected is emitted when this instance's own suspicion of a member begins
	// or ends. It rides to other instances in gossiper.MemberReport.Suspected.
	Suspected struct {
		Service string
		// Member is empty when the newest term has no primary.
		Member string
		// Term is the term in which the member was seen as primary.
		Term uint64
		On   bool
		// Evidence says what it rests on, in one short line.
		Evidence string
		// Age is how long ago the question was sent that the member answered last; negative
		// when it has not answered yet.
		Age time.Duration
	}

	// Agreed is emitted when a suspicion is to be acted on, because enough
	// availability zones share it, and when that ends.
	Agreed struct {
		Service  string
		Member   string
		Term     uint64
		On       bool
		Evidence Evidence
	}
)

// EventName implements controller.Event.
func (Suspected) EventName() string { return "member-suspected" }

// EventName implements controller.Event.
func (Agreed) EventName() string { return "failure-agreed" }

// String returns the evidence in words.
func (e Evidence) String() string {
	switch e {
	case EvidenceSilent:
		return "no answer on the kept connection nor on a fresh one"
	case EvidenceStalled:
		return "what it writes reaches no replica"
	case EvidenceUnreachable:
		return "fresh connections are refused"
	case EvidenceHeadless:
		return "the newest term has no primary"
	}
	return "none"
}
