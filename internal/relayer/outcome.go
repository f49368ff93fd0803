package relayer

import "github.com/oriolegw/oriolegw/pkg/refuser"

// requestState is what is known of a request without a complete answer. The outcome reported to
// the client derives from it alone: a wrong "not run" makes clients repeat writes.
type requestState struct {
	// written: part of the request may have reached the target.
	written bool
	// replica: the target rejects writes.
	replica bool
	// pure: no statement has side effects.
	pure bool
	// inTransaction: an earlier request began the transaction. The target rolls it back when
	// the connection closes.
	inTransaction bool
	// mayCommit: some statement may commit a transaction.
	mayCommit bool
	// committed: the target reported a commit before the connection was lost.
	committed bool
	// rejected: the target reported that it did not run the request and rolled the transaction
	// back.
	rejected bool
}

// outcome returns what is certain about the request.
func (s requestState) outcome() refuser.Outcome {
	switch {
	case !s.written:
		return refuser.NotRun
	case s.committed:
		return refuser.Unknown
	case s.rejected, s.replica, s.pure:
		return refuser.NotRun
	case s.inTransaction && !s.mayCommit:
		return refuser.NotRun
	}
	return refuser.Unknown
}

// reason returns the refusal for a request that won't be retried.
func (s requestState) reason() *refuser.Reason {
	switch {
	case s.outcome() == refuser.Unknown:
		return refuser.ConnectionLost
	case s.inTransaction:
		return refuser.TransactionLost
	}
	return refuser.ReadLost
}
