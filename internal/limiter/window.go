package limiter

import "time"

const (
	// slotTime is the width of a slot, Slots the number of slots in a window. They cover the
	// window of the default limits and the delay until an operation is reported.
	slotTime    = 500 * time.Millisecond
	WindowSlots = 12
)

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
