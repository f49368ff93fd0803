package balancer

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxPressureAge is the age from which the reported queue of a holder is ignored. A holder that
	// dies, restarts or reports wrong values thus changes decisions no longer than that.
	MaxPressureAge = 500 * time.Millisecond
	// MaxWait is the longest wait that a holder may report: longer than any statement may wait.
	MaxWait = 10 * time.Second
	// maxClasses bounds the classes in a report.
	maxClasses = 64
)

var (
	errWaitOutOfRange   = errors.New("wait is out of range")
	errTooManyClasses   = errors.New("too many classes")
	errWaitNotAscending = errors.New("wait falls with the class")
)

// Pressure is the queue for a holder's connections to a group, as the holder reported it.
type Pressure struct {
	// Waits is the expected wait of a new request by class. The last one holds for all further
	// classes. It is empty if the wait is unknown.
	Waits []time.Duration
	// Queued is the number of waiting requests.
	Queued int
	// At is when the report was received.
	At time.Duration
}

// Check returns an error if the report is invalid.
func (p Pressure) Check() error {
	if len(p.Waits) > maxClasses {
		return errTooManyClasses
	}
	var last time.Duration
	for _, w := range p.Waits {
		switch {
		case w < 0 || w > MaxWait:
			return errWaitOutOfRange
		case w < last:
			return errWaitNotAscending
		}
		last = w
	}
	return nil
}

// Wait returns the expected wait of a request of a class, and false if it is unknown.
func (p Pressure) Wait(now time.Duration, class int) (time.Duration, bool) {
	if len(p.Waits) == 0 || now-p.At > MaxPressureAge || now < p.At {
		return 0, false
	}
	return p.Waits[min(max(0, class), len(p.Waits)-1)], true
}

// Asks reports whether a borrower sends a request of a class that may wait for the given time to the
// holder. inFlight is the number of its requests that the holder has not answered yet.
//
// It handles a holder whose queue is longer than requests may wait. Each of them would cross to its
// region, be refused there and be sent again. One request at a time is always sent, so that the borrower
// learns when the queue gets shorter.
func (p Pressure) Asks(now time.Duration, class int, left time.Duration, inFlight int) bool {
	wait, known := p.Wait(now, class)
	return !known || inFlight == 0 || wait <= left
}
