package replicator

import (
	"strconv"

	"github.com/oriolegw/oriolegw/pkg/orderer"
)

type (
	// Op is one change of one row.
	Op struct {
		Table string
		Key   string
		// Value is set as it stands, or added when Add is true.
		Value  string
		Add    bool
		Delete bool
	}

	// Entry is one committed transaction, or the empty entry that opens a term.
	Entry struct {
		Position orderer.Position
		Ops      []Op
	}

	// rows is the visible state: table, then key, then value.
	rows map[string]map[string]string

	// ledger is the log of a member and the rows replayed from it.
	ledger struct {
		entries  []Entry
		replayed int
		visible  rows
	}
)

func (l *ledger) received() orderer.Position {
	if len(l.entries) == 0 {
		return orderer.Position{}
	}
	return l.entries[len(l.entries)-1].Position
}

func (l *ledger) replayedPosition() orderer.Position {
	if l.replayed == 0 {
		return orderer.Position{}
	}
	return l.entries[l.replayed-1].Position
}

// append adds a transaction at the end of the log and returns its position.
func (l *ledger) append(term uint64, ops []Op) orderer.Position {
	p := orderer.Position{Term: term, Offset: uint64(len(l.entries)) + 1}
	l.entries = append(l.entries, Entry{Position: p, Ops: ops})
	return p
}

// replay makes the first n entries visible.
func (l *ledger) replay(n int) {
	if l.visible == nil {
		l.visible = rows{}
	}
	for l.replayed < n && l.replayed < len(l.entries) {
		l.visible.apply(l.entries[l.replayed].Ops)
		l.replayed++
	}
}

// truncate keeps the first n entries. What was replayed beyond them is undone
// by replaying from the start: a member that followed an old primary may have
// shown rows that no majority ever held.
func (l *ledger) truncate(n int) {
	if n >= len(l.entries) {
		return
	}
	l.entries = append([]Entry(nil), l.entries[:n]...)
	if l.replayed > n {
		l.replayed, l.visible = 0, nil
		l.replay(n)
	}
}

// ends returns the last position of each term in the log, in order.
func (l *ledger) ends() []orderer.Position {
	var ends []orderer.Position
	for _, e := range l.entries {
		if n := len(ends); n > 0 && ends[n-1].Term == e.Position.Term {
			ends[n-1] = e.Position
			continue
		}
		ends = append(ends, e.Position)
	}
	return ends
}

// common returns how many entries l shares with a log of the given ends. The
// newest term that both hold decides: a term has one primary, so two logs with
// entries of it are equal up to the shorter end. Comparing the last entry alone
// would keep a divergent tail of a term that l never saw.
func (l *ledger) common(ends []orderer.Position) int {
	mine := map[uint64]uint64{}
	for _, e := range l.ends() {
		mine[e.Term] = e.Offset
	}
	for i := len(ends) - 1; i >= 0; i-- {
		if o, ok := mine[ends[i].Term]; ok {
			return int(min(o, ends[i].Offset))
		}
	}
	return 0
}

func (r rows) apply(ops []Op) {
	for _, o := range ops {
		t := r[o.Table]
		if t == nil {
			t = map[string]string{}
			r[o.Table] = t
		}
		switch {
		case o.Delete:
			delete(t, o.Key)
		case o.Add:
			t[o.Key] = add(t[o.Key], o.Value)
		default:
			t[o.Key] = o.Value
		}
	}
}

func add(a, b string) string {
	x, _ := strconv.ParseInt(a, 10, 64)
	y, _ := strconv.ParseInt(b, 10, 64)
	return strconv.FormatInt(x+y, 10)
}
