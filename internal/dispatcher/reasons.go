package dispatcher

import (
	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
)

// Reason is the stable name of the cause of a refusal or retry. It appears in logs,
// metrics and replies to callers.
type Reason string

// Reasons that don't come from a member's reply code.
const (
	ReasonNoConnection      Reason = "no-connection"
	ReasonNoPrimary         Reason = "no-primary"
	ReasonNoAnswer          Reason = "no-answer"
	ReasonNotSent           Reason = "not-sent"
	ReasonShuttingDown      Reason = "instance-leaves"
	ReasonOutcomeUnknown    Reason = "outcome-unknown"
	ReasonIdleInTransaction Reason = "rested-too-long"
	ReasonNoConfiguration   Reason = "no-configuration"
	ReasonTransactionFailed Reason = "transaction-failed-before"
	ReasonUnknownKey        Reason = "unknown-key"
	ReasonKeyUncertain      Reason = "key-uncertain"
	ReasonKeyRevoked        Reason = "key-withdrawn"
	ReasonOverLimit         Reason = "over-limit"
	ReasonNoLease           Reason = "no-commit-lease"
)

// ReasonText describes a reason for docs/DECISIONS.md.
type ReasonText struct {
	Reason Reason
	// Text describes what happened; LogHint names the log lines that show its cause.
	Text, LogHint string
}

// Reasons lists every reason, in the order of the page.
var Reasons = []ReasonText{
	{ReasonNoConnection, "No connection to a member that may run it became free in time. Nothing was sent.", "part=duty event=observed: busy and connections of the group's members; part=connection around the time."},
	{ReasonNoPrimary, "No member of the group was known to be primary.", "part=duty event=move-begins and move-ended of the group; part=belief event=primary."},
	{ReasonNoAnswer, "The member did not answer within the attempt's timeout, or the connection broke. Before a commit, the transaction is rolled back.", "The member in the line; part=duty event=observed answered=false."},
	{ReasonNotSent, "The connection broke before anything of the write was sent.", "part=connection of the member."},
	{ReasonShuttingDown, "The instance is shutting down.", "part=belief event=stop."},
	{ReasonOutcomeUnknown, "A write or commit was sent and not answered; it may have taken effect.", "cause in the line; part=duty event=move-begins of the group just before or after."},
	{ReasonIdleInTransaction, "The caller was idle inside a transaction for longer than the configuration allows; the transaction was rolled back.", "part=belief event=configuration: the version in force."},
	{ReasonNoConfiguration, "The instance knows no configuration yet: it has just started, and has received none from the store or another instance.", "part=belief event=start and event=dependency-lost dependency=store of the instance; part=peers."},
	{ReasonTransactionFailed, "The transaction had failed with an earlier statement and can only be rolled back.", "The line of the earlier statement, outcome=aborted or refused."},
	{ReasonUnknownKey, "The configuration in force assigns the caller's key to no customer, or the caller presents none. Nothing was sent.", "version in the line; part=belief event=configuration: when that version came; oriolegwctl customers."},
	{ReasonKeyUncertain, "The caller's key is unknown here, but this instance may have missed a newer configuration, since neither the store nor an instance that reads it has answered recently. Nothing was sent.", "part=belief event=dependency-lost dependency=store of the instance; part=peers."},
	{ReasonKeyRevoked, "The caller's key was revoked, or assigned to another customer, while its transaction was open; it was rolled back.", "version in the line; part=belief event=configuration."},
	{ReasonOverLimit, "The customer has run as many operations as its limit allows, over all instances. Nothing was sent; the reply says when to retry.", "customer in the line; oriolegwctl limits: limit, use, what is withheld and why; docs/OPERATIONS.md, \"A customer is refused below its limit\"."},
	{ReasonNoLease, "The instance has no lease to acknowledge commits of the group: neither the group's owner nor the store grants one, as when the instance is cut off from both or the primary is about to be replaced. Nothing was kept.", "part=belief event=commit-lease-lost and commit-lease-regained of the group, with the cause; part=duty event=leases-suspended at the owner."},
	{reasonForCode(messenger.CodeUnknownDatabase), "No route of the configuration in force has the database's name.", "version in the line; part=belief event=configuration."},
	{reasonForCode(messenger.CodeBusy), "The member had no capacity to run it.", "part=duty event=observed: busy."},
	{reasonForCode(messenger.CodeBehind), "The replica's log did not hold the position that the read requires.", "need in the line; lag-ms in part=duty event=observed."},
	{reasonForCode(messenger.CodeNotPrimary), "The member is not, or no longer, primary.", "part=belief event=primary, part=duty event=move-ended."},
	{reasonForCode(messenger.CodeUnknownStatement), "The member no longer had the prepared statement; it is prepared again.", "The member in the line."},
	{reasonForCode(messenger.CodeFailed), "The member ran it and it failed.", "The member in the line."},
	{reasonForCode(messenger.CodeTimeout), "The member ran it and timed out.", "The member in the line."},
	{reasonForCode(messenger.CodeAborted), "The member rolled the transaction back.", "The member in the line."},
	{reasonForCode(messenger.CodeMalformed), "The statement could not be parsed, or is not allowed in the session's state.", "detail in the line; the member, if it was sent to one."},
}

func reasonForCode(c messenger.Code) Reason { return Reason(c.String()) }

// checkoutReason returns the reason for a failed connection checkout.
func checkoutReason(err error) Reason {
	switch {
	case errors.Is(err, lender.ErrNoMember):
		return ReasonNoPrimary
	case errors.Is(err, lender.ErrNoConnection):
		return ReasonNoConnection
	default:
		return ReasonShuttingDown
	}
}
