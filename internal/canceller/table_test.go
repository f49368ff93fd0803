package canceller_test

import (
	"context"
	"testing"

	"github.com/oriolegw/oriolegw/internal/canceller"
	"github.com/shoenig/test/must"
)

type (
	session struct{ cancelled int }

	// fleet forwards cancel requests in memory.
	fleet map[uint16]*canceller.Table
)

func (s *session) Cancel(context.Context) { s.cancelled++ }

func (f fleet) ForwardCancel(ctx context.Context, instance uint16, pid, secret uint32) error {
	t := f[instance]
	if t == nil {
		return canceller.ErrUnknown
	}
	return t.CancelLocal(ctx, canceller.Key{PID: pid, Secret: secret})
}

// A cancel request sent to any instance reaches exactly the session with the key.
func TestTable(t *testing.T) {
	f := fleet{}
	for _, n := range []string{"entry-a-1", "entry-b-1"} {
		f[canceller.Tag(n)] = &canceller.Table{Tag: canceller.Tag(n), Forwarder: f}
	}
	a, b := f[canceller.Tag("entry-a-1")], f[canceller.Tag("entry-b-1")]
	mine, other := &session{}, &session{}
	k, err := a.Add(mine)
	must.NoError(t, err)
	k2, err := a.Add(other)
	must.NoError(t, err)
	ctx := t.Context()

	must.NoError(t, a.Cancel(ctx, k))
	must.NoError(t, b.Cancel(ctx, k))
	must.Eq(t, 2, mine.cancelled)
	must.ErrorIs(t, b.Cancel(ctx, canceller.Key{PID: k.PID, Secret: k2.Secret}), canceller.ErrUnknown)
	must.ErrorIs(t, b.CancelLocal(ctx, k), canceller.ErrUnknown)
	a.Remove(k)
	must.ErrorIs(t, b.Cancel(ctx, k), canceller.ErrUnknown)
	must.Eq(t, 0, other.cancelled)
}
