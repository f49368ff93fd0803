package refuser

import "time"

// The reasons. Add the code of a removed reason to RetiredCodes.
var (
	NoService = &Reason{
		Code: "OR101", Name: "no-service", Since: "0.1", SQLState: "3D000", Outcome: NotRun, Fatal: true,
		Title: "no such service",
		Text:  "The client's database name is not a service in the current configuration. Check the name. A newly published service is known to all instances within 5 s.",
	}
	NoConfiguration = &Reason{
		Code: "OR102", Name: "no-configuration", Since: "0.1", SQLState: "57P03", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "no configuration yet",
		Text:  "The instance has just started and has not yet loaded a configuration from the store or a peer.",
	}
	InstanceLeaving = &Reason{
		Code: "OR104", Name: "instance-leaving", Since: "0.1", SQLState: "57P01", Outcome: NotRun, Fatal: true,
		Title: "the instance is leaving",
		Text:  "The instance is shutting down and closes the connection between transactions. Connect again: the load balancer selects another instance. A request sent while this error was on its way was not run.",
	}
	NoPrimary = &Reason{
		Code: "OR201", Name: "no-primary", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 500 * time.Millisecond,
		Title: "no primary to send the request to",
		Text:  "The group has no primary that this instance can reach, and none appeared within the time that a request may wait for one.",
	}
	NoTarget = &Reason{
		Code: "OR202", Name: "no-target", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 200 * time.Millisecond,
		Title: "no target may serve the read",
		Text:  "No reachable member is known to hold the client's own writes and to meet the staleness bound of the kind of request.",
	}
	NoConnection = &Reason{
		Code: "OR203", Name: "no-connection", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "no target connection became free",
		Text:  "All of this instance's connections to the group were busy for as long as the request may wait.",
	}
	QueueFull = &Reason{
		Code: "OR251", Name: "queue-full", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "too many requests of the customer are waiting",
		Text:  "The customer has reached the limit of requests waiting for a connection. Other customers are not affected. Retry after the stated time.",
	}
	QueueTimeout = &Reason{
		Code: "OR252", Name: "queue-timeout", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "no turn within the time that a request may wait",
		Text:  "The request waited in the queue for the maximum time. It was not sent to a target.",
	}
	NoShare = &Reason{
		Code: "OR253", Name: "no-share", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: time.Second,
		Title: "the instance holds no connections of the group",
		Text:  "The group's connection budget is divided among the instances, and this one has no share: it has just started and the platform's store is unavailable, or other instances hold all connections. Another instance can serve the request.",
	}
	Overload = &Reason{
		Code: "OR254", Name: "overload", Since: "0.1", SQLState: "53300", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "the wait would be longer than the request may wait",
		Text:  "At the group's current throughput, the customer's waiting requests would delay this one past its deadline. It is refused at once instead of after the wait.",
	}
	RetriesSpent = &Reason{
		Code: "OR255", Name: "retries-spent", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 500 * time.Millisecond,
		Title: "the instance has used up its retries",
		Text:  "An attempt failed before the request ran, and the group's retry budget is exhausted. Retry after the stated time.",
	}
	ConnectionLost = &Reason{
		Code: "OR301", Name: "connection-lost", Since: "0.1", SQLState: "08007", Outcome: Unknown,
		Title: "connection to the primary lost after the request was sent",
		Text:  "The request may or may not have run. It is not retried, since it may not be idempotent. Check whether it took effect before sending it again.",
	}
	NotConfirmed = &Reason{
		Code: "OR302", Name: "not-confirmed", Since: "0.1", SQLState: "08007", Outcome: Unknown,
		Title: "the write reached no majority in time",
		Text:  "The primary ran the write, but a majority of the group did not confirm it in time. A failover may lose it or keep it. Check whether it took effect before sending it again.",
	}
	TransactionLost = &Reason{
		Code: "OR303", Name: "transaction-lost", Since: "0.1", SQLState: "40001", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "the transaction was rolled back",
		Text:  "The connection of an open transaction was lost before COMMIT was sent, so the target rolled it back. Retry it from its BEGIN.",
	}
	ReadLost = &Reason{
		Code: "OR304", Name: "read-lost", Since: "0.1", SQLState: "08006", Outcome: NotRun, RetryAfter: 100 * time.Millisecond,
		Title: "the answer to a read broke off",
		Text:  "The connection to a target was lost after part of the response had been forwarded, or every attempt failed. Reads have no side effects, so the request can be sent again.",
	}
	BadToken = &Reason{
		Code: "OR401", Name: "bad-token", Since: "0.1", SQLState: "28000", Outcome: NotRun, Fatal: true,
		Title: "session token refused",
		Text:  "The token is forged, belongs to another fleet or service, or has a version that this instance does not support. Connect without it to start a new session.",
	}
	BadPassword = &Reason{
		Code: "OR501", Name: "bad-password", Since: "0.1", SQLState: "28P01", Outcome: NotRun, Fatal: true,
		Title: "password or user refused",
		Text:  "The current configuration has no such user, or the password is wrong. The response and its timing do not reveal which.",
	}
	TooManyCallers = &Reason{
		Code: "OR502", Name: "too-many-callers", Since: "0.1", SQLState: "53300", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "the instance has too many callers",
		Text:  "The number of connected clients has reached the configured limit. Connect again: the load balancer may select another instance.",
	}
	EncryptionRequired = &Reason{
		Code: "OR503", Name: "encryption-required", Since: "0.1", SQLState: "28000", Outcome: NotRun, Fatal: true,
		Title: "TLS is required",
		Text:  "The settings require TLS. Use sslmode=require, or verify-full with the operators' certificate.",
	}
	BadStartUp = &Reason{
		Code: "OR504", Name: "bad-start-up", Since: "0.1", SQLState: "08P01", Outcome: NotRun, Fatal: true,
		Title: "start-up not understood",
		Text:  "The first messages of the connection violate the protocol, or use a version other than 3.0 and 3.2. The detail names what was received.",
	}
	StartUpTimeout = &Reason{
		Code: "OR505", Name: "start-up-timeout", Since: "0.1", SQLState: "08006", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "start-up took too long",
		Text:  "The client was not authenticated within the configured start-up timeout.",
	}
	NoReplication = &Reason{
		Code: "OR506", Name: "no-replication", Since: "0.1", SQLState: "0A000", Outcome: NotRun, Fatal: true,
		Title: "replication is not supported",
		Text:  "A replication stream needs a dedicated connection to one target and cannot use pooled connections. Connect to the target directly.",
	}
	Unsupported = &Reason{
		Code: "OR402", Name: "unsupported", Since: "0.1", SQLState: "0A000", Outcome: NotRun,
		Title: "not supported through the proxy",
		Text:  "The message or statement cannot work over pooled connections. docs/CALLERS.md lists what is not supported.",
	}
	SessionState = &Reason{
		Code: "OR403", Name: "session-state", Since: "0.1", SQLState: "0A000", Outcome: NotRun,
		Title: "would leave state on a shared connection",
		Text:  "The statement leaves state on its connection (session lock, temporary object, cursor, COPY) that would affect the next client. Use the form that ends with the transaction.",
	}
	RequestTooLarge = &Reason{
		Code: "OR404", Name: "request-too-large", Since: "0.1", SQLState: "54000", Outcome: NotRun,
		Title: "request too large",
		Text:  "The request, up to its Sync, or the number of the client's prepared statements exceeds the limit for one client. Send less at once, or close statements.",
	}
	BadSetting = &Reason{
		Code: "OR405", Name: "bad-setting", Since: "0.1", SQLState: "22023", Outcome: NotRun,
		Title: "the target refused a setting of the session",
		Text:  "The target refused a setting of the client, from its start-up parameters or from SET. The request was not run. RESET the setting, or connect without it.",
	}
	FloorUnknown = &Reason{
		Code: "OR205", Name: "floor-unknown", Since: "0.1", SQLState: "57P03", Outcome: NotRun, RetryAfter: 500 * time.Millisecond,
		Title: "the caller's own work can't be located",
		Text:  "The client connected without a session token, and no majority of the group responds, so the position of its earlier writes cannot be determined. Clients with a token, and those connected before, are still served.",
	}
	Cancelled = &Reason{
		Code: "OR206", Name: "cancelled", Since: "0.1", SQLState: "57014", Outcome: NotRun,
		Title: "cancelled before it ran",
		Text:  "The client cancelled the request while it waited for a target or a connection.",
	}
	TooManySessions = &Reason{
		Code: "OR103", Name: "too-many-sessions", Since: "0.1", SQLState: "53300", Outcome: NotRun, Fatal: true, RetryAfter: time.Second,
		Title: "no key is left for another caller",
		Text:  "The instance has 65,536 clients, as many as its cancel keys can distinguish. Connect again: the load balancer may select another instance.",
	}
	TransactionAborted = &Reason{
		Code: "OR305", Name: "transaction-aborted", Since: "0.1", SQLState: "25P02", Outcome: NotRun,
		Title: "the transaction has already been lost",
		Text:  "An earlier request of the transaction failed. As in PostgreSQL, all requests up to ROLLBACK or COMMIT are refused, so that the rest of a lost transaction cannot run on its own.",
	}
	AnswerTooLarge = &Reason{
		Code: "OR306", Name: "answer-too-large", Since: "0.1", SQLState: "54000", Outcome: Unknown,
		Title: "answer too large to hold until the commit is confirmed",
		Text:  "The response after a COMMIT in the same request exceeds what an instance buffers until the commit is confirmed. The commit may have taken effect. Send the COMMIT alone.",
	}
)

// Reasons lists all reasons in the order of their codes.
var Reasons = []*Reason{
	NoService, NoConfiguration, TooManySessions, InstanceLeaving,
	NoPrimary, NoTarget, NoConnection, FloorUnknown, Cancelled,
	QueueFull, QueueTimeout, NoShare, Overload, RetriesSpent,
	ConnectionLost, NotConfirmed, TransactionLost, ReadLost, TransactionAborted, AnswerTooLarge,
	BadToken, Unsupported, SessionState, RequestTooLarge, BadSetting,
	BadPassword, TooManyCallers, EncryptionRequired, BadStartUp, StartUpTimeout, NoReplication,
}

// RetiredCodes lists the codes of removed reasons, which must not be reused.
var RetiredCodes = []string{}
