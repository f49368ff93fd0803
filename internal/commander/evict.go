package commander

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/networker"
)

const (
	// CodeRevoked is how a target refuses a connection of an application that
	// was evicted.
	CodeRevoked  = "OG003"
	codeEvicted  = "OG004"
	codeActivity = "OG005"

	parameterEvict    = "oriole.evict"
	parameterEvictPID = "oriole.evict-pid"
	parameterActivity = "oriole.activity"

	// What AskActivity returns: the session runs a statement, waits for one, or
	// is not there.
	ActivityRunning = "active"
	ActivityIdle    = "idle"
	ActivityAbsent  = "absent"
)

// Evict has a target end the session of an application with a number; for number
// 0 it ends all of them and refuses new ones from then on. It returns how many
// remain. Like a cancel request it comes on a connection that never becomes a
// session, so it needs no place in the group's budget: when every place is held
// by instances that are gone, there would be none.
func Evict(ctx context.Context, n networker.Network, address, application string, pid uint32) (remain int, err error) {
	text, err := askAtStart(ctx, n, address, codeEvicted, map[string]string{
		parameterEvict: application, parameterEvictPID: strconv.FormatUint(uint64(pid), 10),
	})
	if err != nil {
		return 0, err
	}
	if remain, err = strconv.Atoi(text); err != nil {
		return 0, errors.Wrapf(err, "eviction at %s", address)
	}
	return remain, nil
}

// AskActivity asks a target what a session of its own does, on a connection that
// never becomes a session.
func AskActivity(ctx context.Context, n networker.Network, address, application string, pid uint32) (string, error) {
	return askAtStart(ctx, n, address, codeActivity, map[string]string{
		"application_name": application, parameterActivity: strconv.FormatUint(uint64(pid), 10),
	})
}

// askAtStart asks with start-up parameters. The answer is the message of the
// error, with the given code, that ends the start-up.
func askAtStart(ctx context.Context, n networker.Network, address, code string, parameters map[string]string) (string, error) {
	c, err := Dial(ctx, n, address, parameters)
	if err == nil {
		_ = c.Conn().Close()
		return "", errors.Errorf("target %s does not know %s", address, code)
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		return "", err
	}
	return e.Message, nil
}

// Prove asks a target, over a fresh connection, whether it would encrypt, and
// returns nil when it answers: ErrUnreachable when nothing serves at the address,
// ErrSilent when no answer comes in time. The question comes before a session is
// made, so it needs no place in the budget.
func Prove(ctx context.Context, n networker.Network, address string) error {
	if err := prove(ctx, n, address); err != nil {
		return unanswered(ctx, err)
	}
	return nil
}

func prove(ctx context.Context, n networker.Network, address string) error {
	c, err := n.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	defer stop()
	q, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode question")
	}
	if _, err := c.Write(q); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}
