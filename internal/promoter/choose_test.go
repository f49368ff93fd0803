package promoter

import (
	"testing"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

// fenced returns fenced candidates by received position; avoided is the index of the primary to
// avoid, or -1.
func fenced(avoided int, received ...orderer.Position) []candidate {
	var out []candidate
	for i, p := range received {
		out = append(out, candidate{member: i, status: commander.Status{Received: p}, avoided: i == avoided})
	}
	return out
}

func position(term, offset uint64) orderer.Position {
	return orderer.Position{Term: term, Offset: offset}
}

// A safe member with a small backlog is preferred; an unknown backlog counts as small.
func TestChooseByBacklog(t *testing.T) {
	tests := []struct {
		name     string
		replayed [2]orderer.Position
		want     int
	}{
		{"both with a small backlog", [2]orderer.Position{position(1, 460), position(1, 500)}, 0},
		{"the first with a large backlog", [2]orderer.Position{position(1, 100), position(1, 460)}, 1},
		{"both with a large backlog", [2]orderer.Position{position(1, 99), position(1, 100)}, 0},
		{"unknown backlog counts as small", [2]orderer.Position{{}, position(1, 500)}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := fenced(2, position(1, 500), position(1, 500))
			for i := range c.replayed {
				f[i].status.Replayed = c.replayed[i]
			}
			must.Eq(t, c.want, chooseCandidate(f, 2).member)
		})
	}
}

// The chosen member holds every write that a majority holds, is not the failed primary if
// avoidable, and is otherwise the newest.
func TestChoose(t *testing.T) {
	tests := []struct {
		name   string
		fenced []candidate
		quorum int
		want   int
	}{
		{"two fenced: the newer", fenced(-1, position(1, 5), position(1, 7)), 2, 1},
		{"two fenced: the newer, even if it failed", fenced(1, position(1, 5), position(1, 7)), 2, 1},
		{"three fenced: the newer of the others", fenced(0, position(1, 9), position(1, 5), position(1, 7)), 2, 2},
		{"three fenced: a lagging member is not safe", fenced(1, position(1, 5), position(1, 9), position(1, 9)), 2, 2},
		{"a newer term ranks above a longer log", fenced(-1, position(1, 9), position(2, 6)), 2, 1},
		{"among equals, the configuration's order", fenced(0, position(1, 5), position(1, 5), position(1, 5)), 2, 1},
		{"five fenced: only the newest of three is safe", fenced(4, position(1, 1), position(1, 2), position(1, 3), position(1, 8), position(1, 9)), 3, 3},
		{"five fenced: the failed one is avoided", fenced(4, position(1, 1), position(1, 2), position(1, 3), position(1, 1), position(1, 9)), 3, 2},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, chooseCandidate(c.fenced, c.quorum).member) })
	}
}
