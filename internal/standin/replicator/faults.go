package replicator

import (
	"context"
	"sync"
	"time"
)

// Faults are the switches of a member. All can be thrown while it runs.
type Faults struct {
	mutex     sync.Mutex
	thawed    chan struct{} // nil while not frozen
	replayLag time.Duration
	streamLag time.Duration
	slow      time.Duration
	acceptLag time.Duration
	refuse    bool
	loseAfter bool
	stray     time.Duration
	strayNext bool
	leaving   bool
	cutRows   int
}

// Freeze stops the member: connections stay open and nothing is answered.
func (f *Faults) Freeze() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.thawed == nil {
		f.thawed = make(chan struct{})
	}
}

// Thaw lets a frozen member go on where it stopped.
func (f *Faults) Thaw() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.thawed != nil {
		close(f.thawed)
		f.thawed = nil
	}
}

// SetReplayLag delays the visibility of entries on a replica.
func (f *Faults) SetReplayLag(d time.Duration) { f.set(func() { f.replayLag = d }) }

// SetStreamLag delays the receipt of entries on a replica.
func (f *Faults) SetStreamLag(d time.Duration) { f.set(func() { f.streamLag = d }) }

// SetSlow adds to the time of each statement.
func (f *Faults) SetSlow(d time.Duration) { f.set(func() { f.slow = d }) }

// SetAcceptLag delays what comes first on each new connection, a cancel too.
func (f *Faults) SetAcceptLag(d time.Duration) { f.set(func() { f.acceptLag = d }) }

// SetLeaving makes the member say that it is about to be shut down.
func (f *Faults) SetLeaving(on bool) { f.set(func() { f.leaving = on }) }

func (f *Faults) takesLeave() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.leaving
}

// SetRefuse makes the member close every new connection at once.
func (f *Faults) SetRefuse(on bool) { f.set(func() { f.refuse = on }) }

// LoseNextAnswer makes the member run the next write and close the connection
// in place of the answer.
func (f *Faults) LoseNextAnswer() { f.set(func() { f.loseAfter = true }) }

// StrayNext makes the member send an answer too many behind that to the next
// statement, a little later.
func (f *Faults) StrayNext(later time.Duration) {
	f.set(func() { f.stray, f.strayNext = later, true })
}

// CutNext makes the member close the connection after so many rows of the next
// answer that has more.
func (f *Faults) CutNext(rows int) { f.set(func() { f.cutRows = rows }) }

// takeStray reports, once per StrayNext, that an answer too many is due.
func (f *Faults) takeStray() (later time.Duration, on bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	on, f.strayNext = f.strayNext, false
	return f.stray, on
}

// takeCut reports, once per CutNext, after how many of the rows to cut.
func (f *Faults) takeCut(rows int) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.cutRows == 0 || f.cutRows >= rows {
		return 0
	}
	n := f.cutRows
	f.cutRows = 0
	return n
}

func (f *Faults) set(change func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change()
}

func (f *Faults) read(get func() time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return get()
}

// takeLose reports, once per LoseNextAnswer, that an answer is to be lost.
func (f *Faults) takeLose() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	lose := f.loseAfter
	f.loseAfter = false
	return lose
}

// pass blocks while the member is frozen.
func (f *Faults) pass(ctx context.Context) error {
	for {
		f.mutex.Lock()
		c := f.thawed
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
