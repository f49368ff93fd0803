// Package admitter is the admission control of a group: it admits, queues or refuses
// requests. Queue and Limit decide without clock, network or goroutines; Gate connects
// them to the connection pool.
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
	// ClassTransaction holds its connection until the caller ends the transaction.
	ClassTransaction

	classes = 3
)

// DefaultCustomer is the customer of users that the configuration doesn't list.
const DefaultCustomer = ""

type (
	// Class groups requests by how long they hold a connection.
	Class int

	// Request is a request for a connection.
	Request struct {
		// ID is unique among the waiting and running requests.
		ID       uint64
		Customer string
		Class    Class
		// Target is the address of the member that the request was routed to.
		Target string
		// Deadline is when the request stops waiting.
		Deadline time.Time
	}

	// Decision admits a request, or refuses it if Refusal is set.
	Decision struct {
		ID      uint64
		Refusal *refuser.Refusal
	}

	// Outcome is how an admitted request ended.
	Outcome struct {
		// Held is how long the request kept its connection.
		Held time.Duration
		// Failed is set when the target was lost or gave no answer.
		Failed bool
	}
)
