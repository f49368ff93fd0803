// Package admitter decides which requests of a group are let in, which wait, for
// how long, and which are turned away. Queue and Limit decide without clock,
// network or goroutine; Gate puts them between traffic and the pool.
package admitter

import (
	"time"

	"github.com/oriolegw/oriolegw/pkg/refuser"
)

// The classes of requests.
const (
	// ClassRead is a read outside a transaction.
	ClassRead Class = iota
	// ClassWrite is a write outside a transaction.
	ClassWrite
	// ClassTransaction keeps its connection until the caller ends it.
	ClassTransaction

	classes = 3
)

// DefaultCustomer is the customer of users that the configuration doesn't list.
const DefaultCustomer = ""

type (
	// Class is what a request does with a connection, and so for how long.
	Class int

	// Request is one request that wants a connection.
	Request struct {
		// ID is unique among the requests that wait or run.
		ID       uint64
		Customer string
		Class    Class
		// Target is the address of the member that it was routed to.
		Target string
		// Deadline is when it no longer makes sense to wait.
		Deadline time.Time
	}

	// Decision is the fate of one request: admitted when Refusal is nil.
	Decision struct {
		ID      uint64
		Refusal *refuser.Refusal
	}

	// Outcome is how an admitted request ended.
	Outcome struct {
		// Held is how long it kept its connection.
		Held time.Duration
		// Failed is set when the target was lost or gave no answer.
		Failed bool
	}
)
