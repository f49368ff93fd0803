// Package promoter replaces the primary of a group, after a failure or on a planned change,
// and makes members that missed the change follow the new primary.
//
// Safety depends only on the members. A member grants a term to one owner, and rejects older
// terms once fenced; a write is acknowledged when a majority of the group holds it. A promoter
// that has fenced a majority has therefore stopped every older primary from acknowledging
// writes, is the only one to promote a member in that term, and finds every acknowledged write
// among the fenced members. The platform's store only serializes promoters and records their
// results; it may be down or slow, and its responses may be lost, at any point
// (docs/design/0003).
package promoter

import (
	"time"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/detector"
	"github.com/oriolegw/oriolegw/pkg/orderer"
)

// The kinds of orders to a member.
const (
	// OrderStatus requests the member's status.
	OrderStatus OrderKind = iota
	// OrderFence moves the member to a new term, in which it rejects older primaries.
	OrderFence
	// OrderDrain fences the primary once its open transactions have ended or Order.DrainTimeout
	// has passed.
	OrderDrain
	// OrderPromote makes the member the primary of the term.
	OrderPromote
	// OrderFollow makes the member replicate from a primary.
	OrderFollow
)

// The outcomes of recording an intent.
const (
	// IntentUnknown means that the store did not respond in time. The promotion continues, since
	// the members decide.
	IntentUnknown IntentOutcome = iota
	// IntentHeld means that the store holds this promoter's intent.
	IntentHeld
	// IntentTaken means that another promoter has recorded this term or a newer one.
	IntentTaken
)

type (
	// OrderKind is the kind of an order.
	OrderKind int

	// Order is a command to a member, or a request for its status.
	Order struct {
		Service string
		// Attempt is the ID of the promotion attempt, 0 for repairs.
		Attempt uint64
		Kind    OrderKind
		Member  string
		Address string
		Term    uint64
		Owner   string
		// Primary is the address of the primary to follow.
		Primary string
		// DrainTimeout is how long a drain waits for open transactions to end.
		DrainTimeout time.Duration
		// Delay is the delay before the order is sent.
		Delay time.Duration
	}

	// OrderResult is the result of an order.
	OrderResult struct {
		Order Order
		// Started is when the order was sent.
		Started time.Time
		Status  commander.Status
		Err     error
	}

	// Record is the stored state of a group's newest promotion.
	Record struct {
		Term  uint64
		Owner string
		// Primary is empty while the promotion is in progress.
		Primary string
	}

	// IntentOutcome is how recording an intent ended.
	IntentOutcome int

	// RecordIntent requests that the store record the start of a promotion.
	RecordIntent struct {
		Service string
		Attempt uint64
		Record  Record
	}

	// IntentRecorded is the result of RecordIntent; Found is the stored record for IntentTaken.
	IntentRecorded struct {
		Service string
		Attempt uint64
		Outcome IntentOutcome
		Found   Record
	}

	// Publish requests that the store record a completed promotion.
	Publish struct {
		Service string
		Record  Record
	}

	// Published is the result of Publish. Done is false when it must be retried.
	Published struct {
		Service string
		Record  Record
		Done    bool
	}

	// PromotionStarted is emitted when a majority has responded to the probe of an attempt.
	PromotionStarted struct {
		Service string
		// Member is the replaced primary, empty when the term has none.
		Member string
		// Term is the term of the new primary.
		Term     uint64
		Planned  bool
		Evidence detector.Evidence
	}

	// Promoted is emitted when this instance has promoted a member.
	Promoted struct {
		Service string
		Member  string
		Term    uint64
		Owner   string
		// LogEnd is the end of the member's log at its promotion.
		LogEnd orderer.Position
		// Planned is set unless the change follows a failure.
		Planned  bool
		Evidence detector.Evidence
		// Duration is the duration of the attempt.
		Duration time.Duration
	}

	// Abandoned is emitted when an attempt ends without effect.
	Abandoned struct {
		Service string
		Term    uint64
		Reason  AbandonReason
	}

	// AbandonReason is why an attempt ended without effect; it is also the name of a counter.
	AbandonReason string
)

// The reasons for abandoning an attempt.
const (
	AbandonPrimaryAlive AbandonReason = "primary-answered"
	AbandonNoMajority   AbandonReason = "no-majority"
	// AbandonNewerTerm means that a member is in a newer term.
	AbandonNewerTerm   AbandonReason = "newer-term"
	AbandonIntentTaken AbandonReason = "intent-taken"
	// AbandonNoAnswer means that a required member did not respond in time.
	AbandonNoAnswer AbandonReason = "no-answer-to-promote"
	// AbandonReasonEnded means that the reason for the change no longer applies.
	AbandonReasonEnded AbandonReason = "reason-ended"
)

// ActionName implements controller.Action.
func (Order) ActionName() string { return "order-target" }

// ActionName implements controller.Action.
func (RecordIntent) ActionName() string { return "record-intent" }

// ActionName implements controller.Action.
func (Publish) ActionName() string { return "publish-promotion" }

// EventName implements controller.Event.
func (OrderResult) EventName() string { return "target-ordered" }

// EventName implements controller.Event.
func (IntentRecorded) EventName() string { return "intent-recorded" }

// EventName implements controller.Event.
func (Published) EventName() string { return "promotion-published" }

// EventName implements controller.Event.
func (PromotionStarted) EventName() string { return "promotion-began" }

// EventName implements controller.Event.
func (Promoted) EventName() string { return "member-promoted" }

// EventName implements controller.Event.
func (Abandoned) EventName() string { return "promotion-abandoned" }
