package dispatcher

import (
	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/lender"
	"github.com/oriolegw/oriolegw/internal/messenger"
)

// Reason is the stable name of why a statement was refused or tried again. It stands
// in logs, metrics and the text that callers get.
type Reason string

// The reasons that are not a member's code.
const (
	ReasonNoConnection    Reason = "no-connection"
	ReasonNoPrimary       Reason = "no-primary"
	ReasonNoAnswer        Reason = "no-answer"
	ReasonNotSent         Reason = "not-sent"
	ReasonInstanceLeaves  Reason = "instance-leaves"
	ReasonOutcomeUnknown  Reason = "outcome-unknown"
	ReasonRestedTooLong   Reason = "rested-too-long"
	ReasonNoConfiguration Reason = "no-configuration"
	ReasonFailedBefore    Reason = "transaction-failed-before"
	ReasonUnknownKey      Reason = "unknown-key"
	ReasonKeyUncertain    Reason = "key-uncertain"
	ReasonKeyWithdrawn    Reason = "key-withdrawn"
	ReasonOverLimit       Reason = "over-limit"
)

// ReasonText describes a reason for docs/DECISIONS.md.
type ReasonText struct {
	Reason Reason
	// Text says what happened, Look where its cause shows.
	Text, Look string
}

// Reasons lists every reason, in the order of the page.
var Reasons = []ReasonText{
	{ReasonNoConnection, "No connection to a member that may run it became free in time. Nothing was sent.", "part=duty event=observed: busy and connections of the group's members; part=connection around the time."},
	{ReasonNoPrimary, "Nobody was known to lead the group.", "part=duty event=move-begins and move-ended of the group; part=belief event=primary."},
	{ReasonNoAnswer, "The member did not answer in the time of the try, or the connection broke. Before a commit, all is rolled back.", "The member in the line; part=duty event=observed answered=false."},
	{ReasonNotSent, "The connection broke before anything of the write was sent.", "part=connection of the member."},
	{ReasonInstanceLeaves, "The instance ends.", "part=belief event=stop."},
	{ReasonOutcomeUnknown, "A write or commit was sent and not answered; it may have taken effect.", "cause in the line; part=duty event=move-begins of the group just before or after."},
	{ReasonRestedTooLong, "The caller rested inside a transaction for longer than the configuration allows; it was rolled back.", "part=belief event=configuration: the version in force."},
	{ReasonNoConfiguration, "The instance knows no configuration yet: it has just started, and neither the store nor another instance has told it.", "part=belief event=start and event=dependency-lost dependency=store of the instance; part=peers."},
	{ReasonFailedBefore, "The transaction had failed with an earlier statement and can only be rolled back.", "The line of the earlier statement, outcome=aborted or refused."},
	{ReasonUnknownKey, "The configuration in force gives the caller's key to no customer, or the caller presents none. Nothing was sent.", "version in the line; part=belief event=configuration: when that version came; oriolegwctl customers."},
	{ReasonKeyUncertain, "The caller's key is unknown here, but this instance may have missed a newer configuration, as neither the store nor one that reads it has answered for a while. Nothing was sent.", "part=belief event=dependency-lost dependency=store of the instance; part=peers."},
	{ReasonKeyWithdrawn, "The caller's key was taken away, or given to another customer, while its transaction was open; it was rolled back.", "version in the line; part=belief event=configuration."},
	{ReasonOverLimit, "The customer has run as many operations as its limit allows, over all instances. Nothing was sent; the answer says when there may be room.", "customer in the line; oriolegwctl customers: limit, use and what is left."},
	{reasonOfCode(messenger.CodeUnknownDatabase), "No route of the configuration in force has the database's name.", "version in the line; part=belief event=configuration."},
	{reasonOfCode(messenger.CodeBusy), "The member had no room for it.", "part=duty event=observed: busy."},
	{reasonOfCode(messenger.CodeBehind), "The replica's log lacked the position that the read needs.", "need in the line; lag-ms in part=duty event=observed."},
	{reasonOfCode(messenger.CodeNotPrimary), "The member does not lead, or no more.", "part=belief event=primary, part=duty event=move-ended."},
	{reasonOfCode(messenger.CodeUnknownStatement), "The member had lost the prepared statement; it is prepared again.", "The member in the line."},
	{reasonOfCode(messenger.CodeFailed), "The member ran it and it failed.", "The member in the line."},
	{reasonOfCode(messenger.CodeTimeout), "The member ran it and gave up.", "The member in the line."},
	{reasonOfCode(messenger.CodeAborted), "The member rolled the transaction back.", "The member in the line."},
	{reasonOfCode(messenger.CodeMalformed), "The statement was not understood, or not in this state.", "detail in the line; the member, where one was asked."},
}

func reasonOfCode(c messenger.Code) Reason { return Reason(c.String()) }

// reasonOf names why no connection was lent.
func reasonOf(err error) Reason {
	switch {
	case errors.Is(err, lender.ErrNoMember):
		return ReasonNoPrimary
	case errors.Is(err, lender.ErrNoConnection):
		return ReasonNoConnection
	default:
		return ReasonInstanceLeaves
	}
}
