// Package tabulator counts the operations that are affected by a lack of capacity, by customer,
// class, kind and cause, with the sums of the last minute and since the start. It has no clock: the
// caller passes in the time.
package tabulator

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// slotTime is the width of a slot, slots the number of slots kept, so that the last minute
	// spans 55 to 60 s.
	slotTime = 5 * time.Second
	slots    = 12
	// defaultMaxRows suffices for 78 customers with 3 classes and 17 causes each. A row takes about
	// 250 bytes.
	defaultMaxRows = 4096
	// maxClass is the last class that is distinguished.
	maxClass = 9
	// ClassUnknown is the class of an operation whose route is not known, and of what concerns all
	// classes.
	ClassUnknown = -1
	// Others is the customer and cause of the rows that count what found no row of its own.
	Others = "(others)"
)

// The kinds.
const (
	// Refused operations were answered by this instance with a refusal; the cause is the reason,
	// and what decided it if known.
	Refused Kind = iota
	// Limited operations were refused by their customer's limit on this instance, for callers here
	// or at other instances; the cause is the accountant's.
	Limited
	// Waited operations were served by this instance after a wait for a connection or their limit.
	Waited
	// LeaseWaited operations were admitted by their customer's limit on this instance after a wait,
	// for callers here or at other instances.
	LeaseWaited
	// Late operations were served after the latency objective of their route.
	Late
	// Withheld is the part of a limit, in operations, that this instance as the accountant withholds
	// for other instances.
	Withheld
	kinds
)

type (
	// Kind is how operations are affected.
	Kind uint8

	// Key identifies a row.
	Key struct {
		Customer string
		Class    int
		Kind     Kind
		Cause    string
	}

	// Row is a count of operations.
	Row struct {
		Key
		// LastMinute is the sum of the last minute, Total that since the start.
		LastMinute, Total float64
	}

	// Tabulator counts operations. Its methods are safe for concurrent use; the zero value is
	// ready.
	Tabulator struct {
		// MaxRows bounds the rows with a key of their own; defaultMaxRows if 0. One more for each
		// class and kind counts the rest under Others.
		MaxRows int

		mutex sync.Mutex
		rows  map[Key]*row
		// others is the number of rows of Others, scannedAt the slot in which idle rows were last
		// searched for.
		others    int
		scannedAt int64
	}

	row struct {
		// newest is the slot of the last count; slot n is at index n modulo slots.
		newest int64
		counts [slots]float64
		total  float64
	}
)

var kindNames = [kinds]string{"refused", "limited", "waited", "lease-waited", "late", "withheld"}

// String returns the name of the kind.
func (k Kind) String() string {
	if k >= kinds {
		return "unknown"
	}
	return kindNames[k]
}

// ParseKind returns the kind with a name; ok is false if there is none.
func ParseKind(name string) (k Kind, ok bool) {
	i := slices.Index(kindNames[:], name)
	return Kind(max(0, i)), i >= 0
}

// Add counts n operations. It ignores an n that is not positive.
func (t *Tabulator) Add(now tracker.Timestamp, k Key, n float64) {
	if !(n > 0) {
		return
	}
	k.Class = min(max(ClassUnknown, k.Class), maxClass)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	slot := int64(now / slotTime)
	r := t.row(slot, k)
	r.advance(slot)
	r.counts[index(slot)] += n
	r.total += n
}

// Rows returns the counts as of now, in the order of their keys.
func (t *Tabulator) Rows(now tracker.Timestamp) []Row {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	list := make([]Row, 0, len(t.rows))
	for k, r := range t.rows {
		r.advance(int64(now / slotTime))
		list = append(list, Row{Key: k, LastMinute: r.lastMinute(), Total: r.total})
	}
	Sort(list)
	return list
}

// Sort sorts rows by customer, class, kind and cause.
func Sort(list []Row) {
	slices.SortFunc(list, func(a, b Row) int {
		return cmp.Or(strings.Compare(a.Customer, b.Customer), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Kind, b.Kind), strings.Compare(a.Cause, b.Cause))
	})
}

// Merge adds the rows of several instances.
func Merge(lists ...[]Row) []Row {
	sums := map[Key]Row{}
	for _, list := range lists {
		for _, r := range list {
			s := sums[r.Key]
			sums[r.Key] = Row{Key: r.Key, LastMinute: s.LastMinute + r.LastMinute, Total: s.Total + r.Total}
		}
	}
	merged := make([]Row, 0, len(sums))
	for _, r := range sums {
		merged = append(merged, r)
	}
	Sort(merged)
	return merged
}

// row returns the row of a key. If there are too many, it is that of Others.
func (t *Tabulator) row(slot int64, k Key) *row {
	if t.rows == nil {
		t.rows = map[Key]*row{}
	}
	if r, ok := t.rows[k]; ok {
		return r
	}
	if len(t.rows)-t.others >= t.maxRows() {
		t.dropIdle(slot)
	}
	if len(t.rows)-t.others >= t.maxRows() {
		return t.othersRow(slot, k)
	}
	r := &row{newest: slot}
	t.rows[k] = r
	return r
}

func (t *Tabulator) maxRows() int {
	if t.MaxRows > 0 {
		return t.MaxRows
	}
	return defaultMaxRows
}

func (t *Tabulator) othersRow(slot int64, k Key) *row {
	k.Customer, k.Cause = Others, Others
	r, ok := t.rows[k]
	if !ok {
		r = &row{newest: slot}
		t.rows[k] = r
		t.others++
	}
	return r
}

// dropIdle moves the totals of rows without a count in the last minute to those of Others. It does
// so once in a slot, since all rows are searched.
func (t *Tabulator) dropIdle(slot int64) {
	if t.scannedAt == slot {
		return
	}
	t.scannedAt = slot
	var idle []Key
	for k, r := range t.rows {
		if slot-r.newest >= slots && k.Cause != Others {
			idle = append(idle, k)
		}
	}
	for _, k := range idle {
		t.othersRow(slot, k).total += t.rows[k].total
		delete(t.rows, k)
	}
}

// advance clears the slots since the last count. A time before that counts in its slot.
func (r *row) advance(slot int64) {
	for n := max(r.newest+1, slot-slots+1); n <= slot; n++ {
		r.counts[index(n)] = 0
	}
	r.newest = max(r.newest, slot)
}

func (r *row) lastMinute() (sum float64) {
	for _, n := range r.counts {
		sum += n
	}
	return sum
}

func index(slot int64) int64 { return (slot%slots + slots) % slots }
