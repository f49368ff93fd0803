// Package detector decides whether a primary is suspected of having failed, from
// what this instance has seen of it and what instances of other availability
// zones report.
package detector

// Suspected is emitted when this instance's own suspicion of a member begins or
// ends. It rides to other instances in gossiper.MemberReport.Suspected.
type Suspected struct {
	Service string
	Member  string
	// Term is the term in which the member was seen as primary.
	Term uint64
	On   bool
	// Evidence says what it rests on, in one short line.
	Evidence string
}

// EventName implements controller.Event.
func (Suspected) EventName() string { return "member-suspected" }
