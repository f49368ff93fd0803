// Package promoter replaces the primary of a group: after a failure, and on a
// planned change. It also tells members that missed a change whom to follow.
//
// Safety rests on the members alone. A member grants a term to one owner only,
// refuses work of older terms once it is fenced, and a write is acknowledged only
// when a majority of the group holds it. So whoever has fenced a majority for a
// term has stopped every older primary from acknowledging, is the only one to
// promote in that term, and finds every acknowledged write among the members that
// it fenced. The platform's store orders promoters and records what they did; it
// may be down or slow, and its answers lost, at any point (docs/design/0003).
package promoter

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// The kinds of orders to a member.
const (
	OrderStatus OrderKind = iota
	OrderFence
	OrderDrain
	OrderPromote
	OrderFollow
)

// The ways in which recording an intent ends.
const (
	// IntentUnknown: the store gave no answer within the bound. The promotion
	// goes on; the members decide.
	IntentUnknown IntentOutcome = iota
	// IntentHeld: the store holds this promoter's intent.
	IntentHeld
	// IntentTaken: another promoter recorded this term, or a newer one, first.
	IntentTaken
)

type (
	// OrderKind is the kind of an order.
	OrderKind int

	// Order tells a member something, or asks for its status.
	Order struct {
		Service string
		// Attempt is the promotion it belongs to; 0 is none (repair).
		Attempt uint64
		Kind    OrderKind
		Member  string
		Address string
		Term    uint64
		Owner   string
		// Primary is whom to follow.
		Primary string
		// Bound is how long a drain waits for open transactions.
		Bound time.Duration
		// After delays the order.
		After time.Duration
	}

	// Ordered is the answer to an order, or its absence.
	Ordered struct {
		Order Order
		// Started is when the order was sent.
		Started time.Time
		Status  commander.Status
		Err     error
	}

	// Record is what the store holds of a group's newest promotion.
	Record struct {
		Term  uint64
		Owner string
		// Primary is empty while the promotion is under way.
		Primary string
	}

	// IntentOutcome is how recording an intent ended.
	IntentOutcome int

	// Intend asks the store to record that a promotion begins.
	Intend struct {
		Service string
		Attempt uint64
		Record  Record
	}

	// Intended answers it; Found is what the store holds for IntentTaken.
	Intended struct {
		Service string
		Attempt uint64
		Outcome IntentOutcome
		Found   Record
	}

	// Publish asks the store to record a promotion that took effect.
	Publish struct {
		Service string
		Record  Record
	}

	// Published answers it. Done is false when the store must be asked again.
	Published struct {
		Service string
		Record  Record
		Done    bool
	}

	// Began is emitted when a majority has answered an attempt's first questions.
	Began struct {
		Service string
		// Member is the primary that is replaced, empty when the term has none.
		Member string
		// Term is the one that is to begin.
		Term     uint64
		Planned  bool
		Evidence detector.Evidence
	}

	// Promoted is emitted when this instance has made a member the primary.
	Promoted struct {
		Service string
		Member  string
		Term    uint64
		Owner   string
		// At is the end of the log that the member brought along.
		At orderer.Position
		// Planned tells a planned change from a failure.
		Planned  bool
		Evidence detector.Evidence
		// Took is the time since the first order.
		Took time.Duration
	}

	// Abandoned is emitted when an attempt ended without effect.
	Abandoned struct {
		Service string
		Term    uint64
		Reason  AbandonReason
	}

	// AbandonReason says why; it is the name of a counter.
	AbandonReason string
)

// Why an attempt ends without effect.
const (
	AbandonAlive      AbandonReason = "primary-answered"
	AbandonNoMajority AbandonReason = "no-majority"
	AbandonNewerTerm  AbandonReason = "newer-term"
	AbandonTaken      AbandonReason = "intent-taken"
	AbandonNoAnswer   AbandonReason = "no-answer-to-promote"
	AbandonUnfounded  AbandonReason = "reason-ended"
)

// ActionName implements controller.Action.
func (Order) ActionName() string { return "order-target" }

// ActionName implements controller.Action.
func (Intend) ActionName() string { return "record-intent" }

// ActionName implements controller.Action.
func (Publish) ActionName() string { return "publish-promotion" }

// EventName implements controller.Event.
func (Ordered) EventName() string { return "target-ordered" }

// EventName implements controller.Event.
func (Intended) EventName() string { return "intent-recorded" }

// EventName implements controller.Event.
func (Published) EventName() string { return "promotion-published" }

// EventName implements controller.Event.
func (Began) EventName() string { return "promotion-began" }

// EventName implements controller.Event.
func (Promoted) EventName() string { return "member-promoted" }

// EventName implements controller.Event.
func (Abandoned) EventName() string { return "promotion-abandoned" }
