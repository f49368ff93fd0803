// Package orderer compares log positions of a database group.
//
// A position is the (term, offset) pair of the last entry of a log and compares by
// term first. A position of an older term stays comparable after a promotion: a new
// primary starts its term with an entry after all acknowledged entries of older
// terms, so a log that holds an entry of the new term also holds those.
package orderer

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// Position is a position in the log of a database group. The zero value is before every entry.
type Position struct {
	// Term increases with each change of primary, from 1; 0 means unknown.
	Term uint64
	// Offset is the number of the log entry, from 1, across all terms.
	Offset uint64
}

// Compare returns -1, 0 or +1 if p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	if c := cmp.Compare(p.Term, q.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, q.Offset)
}

// AtLeast reports whether a log that ends at p holds every acknowledged entry
// of a log that ended at q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// IsZero reports whether p is before every entry.
func (p Position) IsZero() bool { return p == Position{} }

// String returns "term/offset", the format that targets report.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Max returns the later of two positions.
func Max(p, q Position) Position {
	if p.AtLeast(q) {
		return p
	}
	return q
}

// Parse parses the format of String.
func Parse(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, errors.Errorf("position %q: want term/offset, two decimal numbers", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "position %q: term", s)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, errors.Wrapf(err, "position %q: offset", s)
	}
	return Position{Term: t, Offset: o}, nil
}
