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
	// CodeRevoked is the SQLSTATE with which a target refuses connections of an evicted
	// application.
	CodeRevoked  = "OG003"
	codeEvicted  = "OG004"
	codeActivity = "OG005"

	parameterEvict    = "oriole.evict"
	parameterEvictPID = "oriole.evict-pid"
	parameterActivity = "oriole.activity"

	// ActivityRunning and the others are the results of SessionActivity: the session runs a
	// statement, is idle, or does not exist.
	ActivityRunning = "active"
	ActivityIdle    = "idle"
	ActivityAbsent  = "absent"
)

// Evict makes a target end the application's session with the given process ID, or, for 0,
// all its sessions and refuse new ones. It returns the number that remain. Like a cancel
// request it uses a connection that never becomes a session, so it works when all of the
// target's connections are taken.
func Evict(ctx context.Context, n networker.Network, address, application string, pid uint32) (remaining int, err error) {
	text, err := startUpRequest(ctx, n, address, codeEvicted, map[string]string{
		parameterEvict: application, parameterEvictPID: strconv.FormatUint(uint64(pid), 10),
	})
	if err != nil {
		return 0, err
	}
	if remaining, err = strconv.Atoi(text); err != nil {
		return 0, errors.Wrapf(err, "eviction at %s", address)
	}
	return remaining, nil
}

// SessionActivity returns what a session on a target is doing. It uses a connection that never
// becomes a session.
func SessionActivity(ctx context.Context, n networker.Network, address, application string, pid uint32) (string, error) {
	return startUpRequest(ctx, n, address, codeActivity, map[string]string{
		"application_name": application, parameterActivity: strconv.FormatUint(uint64(pid), 10),
	})
}

// startUpRequest sends a request as start-up parameters. The response is the message of the
// error with the given code that ends the start-up.
func startUpRequest(ctx context.Context, n networker.Network, address, code string, parameters map[string]string) (string, error) {
	c, err := Dial(ctx, n, address, parameters)
	if err == nil {
		_ = c.Conn().Close()
		return "", errors.Errorf("target %s does not support %s", address, code)
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) || e.Code != code {
		return "", err
	}
	return e.Message, nil
}

// Ping checks over a new connection that a target responds, by sending an SSLRequest. It
// returns ErrUnreachable when nothing listens at the address and ErrTimeout on a timeout.
// The request needs no session and so no connection slot of the target.
func Ping(ctx context.Context, n networker.Network, address string) error {
	if err := probe(ctx, n, address); err != nil {
		return noResponseError(ctx, err)
	}
	return nil
}

func probe(ctx context.Context, n networker.Network, address string) error {
	c, err := n.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	defer stop()
	request, err := (&pgproto3.SSLRequest{}).Encode(nil)
	if err != nil {
		return errors.Wrap(err, "encode SSLRequest")
	}
	if _, err := c.Write(request); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}
