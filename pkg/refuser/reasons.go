package refuser

import "time"

// The reasons. A code that goes out of use stays listed in Retired.
var (
	NoService = &Reason{
		Code: "OR101", Name: "no-service", Since: "0.1", SQLState: "3D000", Outcome: NotRun, Fatal: true,
		Title: "no such service",
		Text:  "The caller's database name is not a service of the configuration in force. Check the name; a service that was just published is known everywhere within 5 s.",
	}
	NoConfiguration = &Reason{
		Code: "OR102", Name: "no-configuration", Since: "0.1", SQLState: "57P03", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "no configuration yet",
		Text:  "The instance has just started and knows no configuration yet, from the store or from a peer.",
	}
	InstanceLeaving = &Reason{
		Code: "OR104", Name: "instance-leaving", Since: "0.1", SQLState: "57P01", Outcome: NotRun, Fatal: true,
		Title: "the instance is leaving",
		Text:  "The instance is being shut down and ends the connection between two transactions. Connect again: the balancer leads to another instance. A request sent as this arrives was not run.",
	}
	NoPrimary = &Reason{
		Code: "OR201", Name: "no-primary", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 500 * time.Millisecond,
		Title: "no primary to send the request to",
		Text:  "The group has no primary that this instance can reach, and none appeared within the time that requests are held for one.",
	}
	NoTarget = &Reason{
		Code: "OR202", Name: "no-target", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 200 * time.Millisecond,
		Title: "no target may serve the read",
		Text:  "No member is reachable that is known to hold the caller's own work and to be as fresh as the kind of request demands.",
	}
	NoConnection = &Reason{
		Code: "OR203", Name: "no-connection", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "no target connection became free",
		Text:  "All of this instance's connections to the group were busy for as long as the request may wait.",
	}
	QueueFull = &Reason{
		Code: "OR251", Name: "queue-full", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "too many requests of the customer are waiting",
		Text:  "The customer already has as many requests waiting for a connection as one customer may. Other customers are not affected. Come back after the stated time.",
	}
	QueueTimeout = &Reason{
		Code: "OR252", Name: "queue-timeout", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "no turn within the time that a request may wait",
		Text:  "The request waited for its turn for as long as it may, without one. It was never sent to a target.",
	}
	NoShare = &Reason{
		Code: "OR253", Name: "no-share", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: time.Second,
		Title: "the instance holds no connections of the group",
		Text:  "The group's budget of connections is shared out among the instances, and this one holds none: it has just started and the platform's store is down, or every connection is held elsewhere. Another instance can serve the request.",
	}
	Overload = &Reason{
		Code: "OR254", Name: "overload", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "the wait would be longer than the request may wait",
		Text:  "At the pace at which the group answers now, the customer's requests that are already waiting would keep this one past its deadline. It is refused at once, so that the caller can use the time.",
	}
	RetriesSpent = &Reason{
		Code: "OR255", Name: "retries-spent", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 500 * time.Millisecond,
		Title: "the instance has used up its retries",
		Text:  "A try of the request failed without running, and too many requests of the group have been retried lately for another try. Come back after the stated time.",
	}
	ConnectionLost = &Reason{
		Code: "OR301", Name: "connection-lost", Since: "0.1", SQLState: "08007", Outcome: Unknown,
		Title: "connection to the primary lost after the request was sent",
		Text:  "The request may or may not have run. It is not repeated, since it may not be idempotent. Look before sending it again.",
	}
	NotConfirmed = &Reason{
		Code: "OR302", Name: "not-confirmed", Since: "0.1", SQLState: "08007", Outcome: Unknown,
		Title: "the write reached no majority in time",
		Text:  "The primary ran the write, but a majority of the group did not confirm it in time. A change of primary may lose it or keep it. Look before sending it again.",
	}
	TransactionLost = &Reason{
		Code: "OR303", Name: "transaction-lost", Since: "0.1", SQLState: "40001", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "the transaction was rolled back",
		Text:  "The connection of an open transaction was lost before COMMIT was sent, so the target rolled it back. Repeat it from its BEGIN.",
	}
	ReadLost = &Reason{
		Code: "OR304", Name: "read-lost", Since: "0.1", SQLState: "08006", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "the answer to a read broke off",
		Text:  "A target was lost after part of the answer had been forwarded, or every try failed. Reads change nothing, so the request can be sent again.",
	}
	BadToken = &Reason{
		Code: "OR401", Name: "bad-token", Since: "0.1", SQLState: "28000", Outcome: NotRun, Fatal: true,
		Title: "session token refused",
		Text:  "The token is forged, of another fleet or service, or of a version that this instance does not know. Connect without it for a new session.",
	}
	BadPassword = &Reason{
		Code: "OR501", Name: "bad-password", Since: "0.1", SQLState: "28P01", Outcome: NotRun, Fatal: true,
		Title: "password or user refused",
		Text:  "The configuration in force has no such user, or the password is not the user's. The answer and its timing don't tell which.",
	}
	TooManyCallers = &Reason{
		Code: "OR502", Name: "too-many-callers", Since: "0.1", SQLState: "53300", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "the instance has too many callers",
		Text:  "As many callers are connected as the settings allow. Connect again; the balancer may choose another instance.",
	}
	EncryptionRequired = &Reason{
		Code: "OR503", Name: "encryption-required", Since: "0.1", SQLState: "28000", Outcome: NotRun, Fatal: true,
		Title: "TLS is required",
		Text:  "The settings take only callers that use TLS. Set sslmode=require, or verify-full with the operators' certificate.",
	}
	BadStartUp = &Reason{
		Code: "OR504", Name: "bad-start-up", Since: "0.1", SQLState: "08P01", Outcome: NotRun, Fatal: true,
		Title: "start-up not understood",
		Text:  "The first messages of the connection break the protocol, or are of a version other than 3.0 and 3.2. The detail says what was found.",
	}
	StartUpTimeout = &Reason{
		Code: "OR505", Name: "start-up-timeout", Since: "0.1", SQLState: "08006", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "start-up took too long",
		Text:  "The caller was not authenticated within the time that the settings allow, so its place was given up.",
	}
	NoReplication = &Reason{
		Code: "OR506", Name: "no-replication", Since: "0.1", SQLState: "0A000", Outcome: NotRun, Fatal: true,
		Title: "replication is not supported",
		Text:  "A replication stream belongs to one target for good and can't pass through shared connections. Connect to the target.",
	}
	Unsupported = &Reason{
		Code: "OR402", Name: "unsupported", Since: "0.1", SQLState: "0A000", Outcome: NotRun,
		Title: "not supported through the proxy",
		Text:  "The message or statement can't work over shared connections. docs/CALLERS.md lists what is not supported.",
	}
	SessionState = &Reason{
		Code: "OR403", Name: "session-state", Since: "0.1", SQLState: "0A000", Outcome: NotRun,
		Title: "would leave state on a shared connection",
		Text:  "The statement leaves something behind on its connection (session lock, temporary object, cursor, COPY), which the next caller would meet. Use the form that ends with its transaction.",
	}
	RequestTooLarge = &Reason{
		Code: "OR404", Name: "request-too-large", Since: "0.1", SQLState: "54000", Outcome: NotRun,
		Title: "request too large",
		Text:  "The request, up to its Sync, or the number of the caller's prepared statements is beyond what an instance keeps for one caller. Send less at once, or close statements.",
	}
	BadSetting = &Reason{
		Code: "OR405", Name: "bad-setting", Since: "0.1", SQLState: "22023", Outcome: NotRun,
		Title: "the target refused a setting of the session",
		Text:  "A setting of the caller, from its start-up parameters or from SET, was refused by the target that its request was for. Nothing of the request was run. RESET the setting, or connect without it.",
	}
	FloorUnknown = &Reason{
		Code: "OR205", Name: "floor-unknown", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 500 * time.Millisecond,
		Title: "the caller's own work can't be located",
		Text:  "The caller came without a session token, and no majority of the group answers, so nobody can tell which of its earlier writes a read must show. Callers with a token, and those connected before, are still served.",
	}
	Cancelled = &Reason{
		Code: "OR206", Name: "cancelled", Since: "0.1", SQLState: "57014", Outcome: NotRun,
		Title: "cancelled before it ran",
		Text:  "The caller cancelled the request while it waited for a target or a connection.",
	}
	TooManySessions = &Reason{
		Code: "OR103", Name: "too-many-sessions", Since: "0.1", SQLState: "53300", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "no key is left for another caller",
		Text:  "The instance holds 65,536 callers, as many as its cancel keys can tell apart. Connect again: the balancer may choose another instance.",
	}
	TransactionAborted = &Reason{
		Code: "OR305", Name: "transaction-aborted", Since: "0.1", SQLState: "25P02", Outcome: NotRun,
		Title: "the transaction has already been lost",
		Text:  "An earlier request of the transaction failed for good. Everything up to ROLLBACK or COMMIT is refused, as PostgreSQL does, so that the rest of a lost transaction can't run on its own.",
	}
	AnswerTooLarge = &Reason{
		Code: "OR306", Name: "answer-too-large", Since: "0.1", SQLState: "54000", Outcome: Unknown,
		Title: "answer too large to hold until the commit is confirmed",
		Text:  "More followed a COMMIT in the same request than an instance holds back. The commit may have taken effect. Send the COMMIT alone.",
	}
)

// Reasons lists them all, in the order of their codes.
var Reasons = []*Reason{
	NoService, NoConfiguration, TooManySessions, InstanceLeaving,
	NoPrimary, NoTarget, NoConnection, FloorUnknown, Cancelled,
	QueueFull, QueueTimeout, NoShare, Overload, RetriesSpent,
	ConnectionLost, NotConfirmed, TransactionLost, ReadLost, TransactionAborted, AnswerTooLarge,
	BadToken, Unsupported, SessionState, RequestTooLarge, BadSetting,
	BadPassword, TooManyCallers, EncryptionRequired, BadStartUp, StartUpTimeout, NoReplication,
}

// Retired lists codes that must not be used again.
var Retired = []string{}
