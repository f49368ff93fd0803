package replicator

import (
	"strconv"

	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Op is a change to one row.
	Op struct {
		Table string
		Key   string
		// Value is the new value, or the increment if Add is set.
		Value  string
		Add    bool
		Delete bool
	}

	// Entry is a committed transaction, or the empty entry at the start of a term.
	Entry struct {
		Position orderer.Position
		Ops      []Op
	}

	// tables maps table names to rows, and their keys to values.
	tables map[string]map[string]string

	// wal is the write-ahead log of a member and the rows replayed from it.
	wal struct {
		entries  []Entry
		replayed int
		visible  tables
	}
)

func (l *wal) received() orderer.Position {
	if len(l.entries) == 0 {
		return orderer.Position{}
	}
	return l.entries[len(l.entries)-1].Position
}

func (l *wal) replayedPosition() orderer.Position {
	if l.replayed == 0 {
		return orderer.Position{}
	}
	return l.entries[l.replayed-1].Position
}

// append appends a transaction to the log and returns its position.
func (l *wal) append(term uint64, ops []Op) orderer.Position {
	p := orderer.Position{Term: term, Offset: uint64(len(l.entries)) + 1}
	l.entries = append(l.entries, Entry{Position: p, Ops: ops})
	return p
}

// replay makes the first n entries visible.
func (l *wal) replay(n int) {
	if l.visible == nil {
		l.visible = tables{}
	}
	for l.replayed < n && l.replayed < len(l.entries) {
		l.visible.apply(l.entries[l.replayed].Ops)
		l.replayed++
	}
}

// truncate keeps the first n entries. If later ones were replayed, it rebuilds the visible rows
// from the start, because a replica of an old primary may have replayed entries that no majority
// acknowledged.
func (l *wal) truncate(n int) {
	if n >= len(l.entries) {
		return
	}
	l.entries = append([]Entry(nil), l.entries[:n]...)
	if l.replayed > n {
		l.replayed, l.visible = 0, nil
		l.replay(n)
	}
}

// lastPositions returns the last position of each term in the log, in order.
func (l *wal) lastPositions() []orderer.Position {
	var lastPositions []orderer.Position
	for _, e := range l.entries {
		if n := len(lastPositions); n > 0 && lastPositions[n-1].Term == e.Position.Term {
			lastPositions[n-1] = e.Position
			continue
		}
		lastPositions = append(lastPositions, e.Position)
	}
	return lastPositions
}

// commonPrefix returns the number of entries that l shares with a log, given the log's last
// position of each term. A term has one primary, so both logs are equal up to the lower end of the
// newest common term. Comparing only the last entries would keep a divergent suffix.
func (l *wal) commonPrefix(lastPositions []orderer.Position) int {
	own := map[uint64]uint64{}
	for _, e := range l.lastPositions() {
		own[e.Term] = e.Offset
	}
	for i := len(lastPositions) - 1; i >= 0; i-- {
		if o, ok := own[lastPositions[i].Term]; ok {
			return int(min(o, lastPositions[i].Offset))
		}
	}
	return 0
}

func (t tables) apply(ops []Op) {
	for _, o := range ops {
		rows := t[o.Table]
		if rows == nil {
			rows = map[string]string{}
			t[o.Table] = rows
		}
		switch {
		case o.Delete:
			delete(rows, o.Key)
		case o.Add:
			rows[o.Key] = addIntegers(rows[o.Key], o.Value)
		default:
			rows[o.Key] = o.Value
		}
	}
}

func addIntegers(a, b string) string {
	x, _ := strconv.ParseInt(a, 10, 64)
	y, _ := strconv.ParseInt(b, 10, 64)
	return strconv.FormatInt(x+y, 10)
}
