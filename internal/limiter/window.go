package limiter

import (
	"math"
	"time"
)

const (
	// slotTime is the width of a slot, WindowSlots the number of slots that reports contain. They
	// cover the window of the default limits and the delay until an operation is reported.
	slotTime    = 500 * time.Millisecond
	WindowSlots = 12
	// historySlots is the number of slots into which an account divides the window. One more
	// overlaps the window, so that the account counts at most 1.01 windows.
	historySlots = 100
	// minWindow is the window of an account if none is configured.
	minWindow = time.Second
)

// history counts an account's operations by time slot, over one window.
type history struct {
	window, width time.Duration
	counts        [historySlots + 1]int
	// newest is the number of the newest slot since the epoch of Timestamp, total the sum of counts.
	newest int64
	total  int
}

func newHistory(window time.Duration) *history {
	window = max(window, minWindow)
	return &history{window: window, width: window / historySlots}
}

// add counts n operations that ran at a time.
func (h *history) add(at Timestamp, n int) {
	slot := int64(at / h.width)
	h.roll(slot)
	if slot >= h.newest-historySlots {
		h.counts[slot%int64(len(h.counts))] += n
		h.total += n
	}
}

// roll advances the history to a newest slot and drops the counts that fall out of the window.
func (h *history) roll(slot int64) {
	if slot-h.newest > historySlots {
		h.counts, h.total, h.newest = [historySlots + 1]int{}, 0, slot
	}
	for h.newest < slot {
		h.newest++
		oldest := &h.counts[h.newest%int64(len(h.counts))]
		h.total -= *oldest
		*oldest = 0
	}
}

// addList adds counts as window.list returns them.
func (h *history) addList(now Timestamp, list []int) {
	for i, n := range list {
		h.add(now-slotAge(list, i), n)
	}
}

// sum returns the operations of the window that ends at now.
func (h *history) sum(now Timestamp) int {
	h.roll(int64(now / h.width))
	return h.total
}

// pace returns the largest constant rate per second that can be run from now on so that every
// window, up to the one that ends one window ahead, has at most the allowed operations. It is
// negative if the current window has more. Handles sustained demand above the limit after a burst:
// refilling at a fixed rate until the window is full would cause a gap one window after the burst.
//
// Windows that end within skip are not considered.
func (h *history) pace(now Timestamp, allowed float64, skip time.Duration) float64 {
	remaining := allowed - float64(h.sum(now))
	lowest := math.Inf(1)
	for k := range int64(len(h.counts)) {
		// Until ahead, the k oldest slots have left the window. Within this time, its end has the
		// lowest rate.
		ahead := min(h.window, time.Duration(k+1)*h.width-now%h.width)
		if ahead > skip {
			lowest = min(lowest, remaining/ahead.Seconds())
		}
		remaining += float64(h.counts[(h.newest+1+k)%int64(len(h.counts))])
	}
	return lowest
}

// window counts operations by time slot. The zero value is an empty window.
type window struct {
	counts [WindowSlots]int
	// newest is the number of the newest slot since the epoch of Timestamp.
	newest int64
}

// add counts n operations that ran at a time.
func (w *window) add(at Timestamp, n int) {
	slot := int64(at / slotTime)
	w.roll(slot)
	if slot > w.newest-WindowSlots {
		w.counts[slot%WindowSlots] += n
	}
}

// roll advances the window to a newest slot and drops the counts that fall out of it.
func (w *window) roll(slot int64) {
	for ; w.newest < slot; w.newest++ {
		if slot-w.newest >= WindowSlots {
			w.counts, w.newest = [WindowSlots]int{}, slot
			return
		}
		w.counts[(w.newest+1)%WindowSlots] = 0
	}
}

// sum returns the operations of the window that ends at now.
func (w *window) sum(now Timestamp) (n int) {
	w.roll(int64(now / slotTime))
	for _, x := range w.counts {
		n += x
	}
	return n
}

// list returns the counts of the window that ends at now, newest last, without leading empty
// slots.
func (w *window) list(now Timestamp) []int {
	if w.sum(now) == 0 {
		return nil
	}
	list := make([]int, 0, WindowSlots)
	for i := range int64(WindowSlots) {
		if n := w.counts[(w.newest+1+i)%WindowSlots]; n != 0 || len(list) > 0 {
			list = append(list, n)
		}
	}
	return list
}

// addList adds counts as list returns them.
func (w *window) addList(now Timestamp, list []int) {
	for i, n := range list {
		w.add(now-slotAge(list, i), n)
	}
}

// slotAge returns how much older slot i of a list is than its newest slot.
func slotAge(list []int, i int) time.Duration { return time.Duration(len(list)-1-i) * slotTime }

// merge adds the counts of another window.
func (w *window) merge(now Timestamp, x *window) { w.addList(now, x.list(now)) }

// undo removes the newest operation, if any.
func (w *window) undo(now Timestamp) {
	w.roll(int64(now / slotTime))
	for i := range int64(WindowSlots) {
		if n := &w.counts[(w.newest+WindowSlots-i)%WindowSlots]; *n > 0 {
			*n--
			return
		}
	}
}
