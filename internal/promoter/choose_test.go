package promoter

import (
	"testing"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/pkg/orderer"
	"github.com/shoenig/test/must"
)

func fenced(avoided int, received ...orderer.Position) []candidate {
	var out []candidate
	for i, p := range received {
		out = append(out, candidate{member: i, status: commander.Status{Received: p}, avoided: i == avoided})
	}
	return out
}

func at(term, offset uint64) orderer.Position { return orderer.Position{Term: term, Offset: offset} }

// A member that has much to replay is passed over for one that has not, if that
// one is safe; one that tells nothing of it is not.
func TestChooseByBacklog(t *testing.T) {
	tests := []struct {
		name     string
		replayed [2]orderer.Position
		want     int
	}{
		{"both near enough", [2]orderer.Position{at(1, 460), at(1, 500)}, 0},
		{"the first is far behind", [2]orderer.Position{at(1, 100), at(1, 460)}, 1},
		{"both far behind", [2]orderer.Position{at(1, 99), at(1, 100)}, 0},
		{"unknown is near enough", [2]orderer.Position{{}, at(1, 500)}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			f := fenced(2, at(1, 500), at(1, 500))
			for i := range c.replayed {
				f[i].status.Replayed = c.replayed[i]
			}
			must.Eq(t, c.want, choose(f, 2).member)
		})
	}
}

// A majority of three holds each acknowledged write. The choice holds all of them,
// is not the failed primary if that can be helped, and keeps the most of the rest.
func TestChoose(t *testing.T) {
	tests := []struct {
		name   string
		fenced []candidate
		quorum int
		want   int
	}{
		{"two answer: the newer", fenced(-1, at(1, 5), at(1, 7)), 2, 1},
		{"two answer: the newer, even if it failed", fenced(1, at(1, 5), at(1, 7)), 2, 1},
		{"three answer: the newer of the others", fenced(0, at(1, 9), at(1, 5), at(1, 7)), 2, 2},
		{"three answer: a laggard is never safe", fenced(1, at(1, 5), at(1, 9), at(1, 9)), 2, 2},
		{"a newer term beats a longer log", fenced(-1, at(1, 9), at(2, 6)), 2, 1},
		{"among equals, the configuration's order", fenced(0, at(1, 5), at(1, 5), at(1, 5)), 2, 1},
		{"five: only the newest of three is safe", fenced(4, at(1, 1), at(1, 2), at(1, 3), at(1, 8), at(1, 9)), 3, 3},
		{"five: the failed one is passed over", fenced(4, at(1, 1), at(1, 2), at(1, 3), at(1, 1), at(1, 9)), 3, 2},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) { must.Eq(t, c.want, choose(c.fenced, c.quorum).member) })
	}
}
