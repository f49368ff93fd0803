package replicator

import (
	"context"
	"sync"
	"time"
)

// Faults injects faults into a member, also while it runs.
type Faults struct {
	mutex              sync.Mutex
	unfrozen           chan struct{} // nil while not frozen
	replayLag          time.Duration
	streamLag          time.Duration
	statementDelay     time.Duration
	acceptDelay        time.Duration
	refuseConnections  bool
	dropResponse       bool
	extraResponseDelay time.Duration
	extraResponse      bool
	shuttingDown       bool
	truncateAfterRows  int
}

// Freeze suspends the member: connections stay open and get no response.
func (f *Faults) Freeze() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unfrozen == nil {
		f.unfrozen = make(chan struct{})
	}
}

// Unfreeze resumes a frozen member.
func (f *Faults) Unfreeze() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unfrozen != nil {
		close(f.unfrozen)
		f.unfrozen = nil
	}
}

// SetReplayLag delays replay of received entries on a replica.
func (f *Faults) SetReplayLag(d time.Duration) { f.set(func() { f.replayLag = d }) }

// SetStreamLag delays receipt of entries on a replica.
func (f *Faults) SetStreamLag(d time.Duration) { f.set(func() { f.streamLag = d }) }

// SetStatementDelay adds a delay to each statement.
func (f *Faults) SetStatementDelay(d time.Duration) { f.set(func() { f.statementDelay = d }) }

// SetAcceptDelay delays handling of each new connection, including cancel requests.
func (f *Faults) SetAcceptDelay(d time.Duration) { f.set(func() { f.acceptDelay = d }) }

// SetShuttingDown makes the member report that it is about to shut down.
func (f *Faults) SetShuttingDown(on bool) { f.set(func() { f.shuttingDown = on }) }

func (f *Faults) isShuttingDown() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.shuttingDown
}

// SetRefuseConnections makes the member close new connections immediately.
func (f *Faults) SetRefuseConnections(on bool) { f.set(func() { f.refuseConnections = on }) }

// DropNextResponse makes the member commit the next write and close the connection without a
// response.
func (f *Faults) DropNextResponse() { f.set(func() { f.dropResponse = true }) }

// SendExtraResponse makes the member send an unsolicited second response to the next statement, after a
// delay.
func (f *Faults) SendExtraResponse(delay time.Duration) {
	f.set(func() { f.extraResponseDelay, f.extraResponse = delay, true })
}

// TruncateNextResult makes the member close the connection after the given number of rows of the next
// result that has more.
func (f *Faults) TruncateNextResult(rows int) { f.set(func() { f.truncateAfterRows = rows }) }

// takeExtraResponse returns and resets the fault set by SendExtraResponse.
func (f *Faults) takeExtraResponse() (delay time.Duration, due bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	due, f.extraResponse = f.extraResponse, false
	return f.extraResponseDelay, due
}

// takeTruncation returns and resets the row limit set by TruncateNextResult, or 0 if the result does
// not exceed it.
func (f *Faults) takeTruncation(rows int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.truncateAfterRows == 0 || f.truncateAfterRows >= rows {
		return 0
	}
	n := f.truncateAfterRows
	f.truncateAfterRows = 0
	return n
}

func (f *Faults) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *Faults) readDuration(get func() time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return get()
}

// takeDroppedResponse reports and resets the fault set by DropNextResponse.
func (f *Faults) takeDroppedResponse() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	drop := f.dropResponse
	f.dropResponse = false
	return drop
}

// waitWhileFrozen blocks while the member is frozen.
func (f *Faults) waitWhileFrozen(ctx context.Context) error {
	for {
		f.mutex.Lock()
		c := f.unfrozen
		f.mutex.Unlock()
		if c == nil {
			return ctx.Err()
		}
		select {
		case <-c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
