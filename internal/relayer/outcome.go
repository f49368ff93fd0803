package relayer

import "github.com/oriolegw/oriolegw/pkg/refuser"

// facts are what is known of a request that got no whole answer. What the
// caller is told follows from them alone, never from where the code gave up:
// a wrong "not run" makes the caller send a write twice.
type facts struct {
	// written: a byte of the request may have reached the target.
	written bool
	// replica: the target is one that refuses every write.
	replica bool
	// pure: no statement of the request can have an effect.
	pure bool
	// inTransaction: the request belongs to a transaction that an earlier one
	// began. Its target rolls it back when the connection ends.
	inTransaction bool
	// mayCommit: some statement of the request may end a transaction.
	mayCommit bool
	// committed: the target reported a commit before the answer broke off.
	committed bool
	// refused: the target said that it did not run the request, and rolled back
	// what came before it.
	refused bool
}

// outcome tells what may be said of the request.
func (f facts) outcome() refuser.Outcome {
	switch {
	case !f.written:
		return refuser.NotRun
	case f.committed:
		return refuser.Unknown
	case f.refused, f.replica, f.pure:
		return refuser.NotRun
	case f.inTransaction && !f.mayCommit:
		return refuser.NotRun
	}
	return refuser.Unknown
}

// reason picks the refusal for a request that won't be tried again.
func (f facts) reason() *refuser.Reason {
	switch {
	case f.outcome() == refuser.Unknown:
		return refuser.ConnectionLost
	case f.inTransaction:
		return refuser.TransactionLost
	}
	return refuser.ReadLost
}
