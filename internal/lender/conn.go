// Package lender pools connections to the members of a group and lends each to one session at a
// time. A member accepts a limited number of connections from all instances together, and each
// opening occupies one of its execution slots for a moment.
package lender

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/messenger"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/scheduler"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// maxPreparedStatements is the number of prepared statements on a connection above which it is
	// reset, to bound the member's memory. Callers usually use only a few distinct statements.
	maxPreparedStatements = 64
	// writeTimeout bounds the sending of commands, which fit into the socket's buffer unless the
	// member has stopped reading.
	writeTimeout = time.Second
)

type (
	// Values are a session's values by name.
	Values map[string]string

	// Prepared identifies a prepared statement independently of its name.
	Prepared struct {
		Writes bool
		Shape  string
	}

	// Conn is a connection to a member. It is not safe for concurrent use.
	Conn struct {
		Member string
		// MemberStartTime identifies the incarnation of the member that it was opened to.
		MemberStartTime int64
		// Customer is the customer named to the member at the start of the connection, "" without
		// one.
		Customer string

		net      net.Conn
		codec    messenger.MemberCodec
		replies  messenger.ReplyReader
		values   Values
		prepared map[Prepared]string
		// unreadReplies is the number of outstanding replies.
		unreadReplies int
		buffer        []byte
		lentAt        time.Time
		idleSince     time.Time
		// lastUsed is when the connection was last lent for a caller's statement.
		lastUsed time.Time
		// neverLent is set until the connection is first lent.
		neverLent bool
		// forTransaction and forStatement record what it is lent for; neither is set for a status
		// query.
		forTransaction, forStatement bool
		broken                       bool
		// charge is what the loan was charged. worked is the slot time of its statements so far, by
		// the member's meter, and work the unanswered ones; meter guards both.
		charge charge
		worked time.Duration
		work   *scheduler.Work
		meter  *slotMeter

		// onReturn is set if another instance has lent the connection, and receives refusedBusy and
		// ran: whether the member refused a statement because of overload, and whether it ran one.
		onReturn         func(LoanEnd)
		refusedBusy, ran bool
	}
)

// ErrBroken is returned for a reply that violates the protocol.
var ErrBroken = errors.New("connection broken")

// RefusedError is a member's refusal of a new connection.
type RefusedError struct {
	Code   messenger.Code
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string { return "member refused: " + e.Code.String() + " " + e.Detail }

// Connect opens a connection to a member before the context's deadline.
func Connect(ctx context.Context, n networker.Network, codec messenger.MemberCodec, m tracker.Member, clientName string) (*Conn, error) {
	raw, err := n.Dial(ctx, m.Address)
	if err != nil {
		return nil, errors.Wrap(err, "dial member")
	}
	c := &Conn{Member: m.ID, MemberStartTime: m.StartTime, net: raw, codec: codec, replies: codec.Replies(raw), prepared: map[Prepared]string{}}
	if deadline, ok := ctx.Deadline(); ok {
		_ = raw.SetDeadline(deadline)
	}
	if _, err := raw.Write(codec.AppendStart(nil, m.Group, clientName, m.ID)); err != nil {
		c.Close()
		return nil, errors.Wrap(err, "open connection")
	}
	r, err := c.replies.Started()
	if err != nil {
		c.Close()
		return nil, errors.Wrap(err, "open connection")
	}
	if r.Code != messenger.CodeNone {
		c.Close()
		return nil, &RefusedError{Code: r.Code, Detail: r.Detail}
	}
	return c, nil
}

// Close closes the connection; the member rolls back open transactions.
func (c *Conn) Close() {
	c.broken = true
	_ = c.net.Close()
	c.EndWork()
}

// End sends the end command and closes the connection.
func (c *Conn) End() {
	if c.broken {
		return
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = c.net.Write(c.codec.AppendTerminate(nil))
	c.Close()
}

// SessionCommands returns the commands that establish a session's values and, if needed, its
// prepared statement, and the statement's name on the connection. Inside a transaction, if open is
// set, state is only added: SessionCommands was called before it began.
func (c *Conn) SessionCommands(values Values, need *Prepared, open bool) ([]messenger.Command, string) {
	var commands []messenger.Command
	if !open && c.needsReset(values, need) {
		c.values = nil
		clear(c.prepared)
		commands = append(commands, messenger.Command{Kind: messenger.KindReset})
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		if v := values[name]; c.values[name] != v {
			commands = append(commands, messenger.Command{Kind: messenger.KindSet, Name: name, Rest: v})
		}
	}
	c.values = maps.Clone(values)
	if need == nil {
		return commands, ""
	}
	name, ok := c.prepared[*need]
	if !ok {
		name = "s" + strconv.Itoa(len(c.prepared))
		c.prepared[*need] = name
		kind := messenger.KindPrepareRead
		if need.Writes {
			kind = messenger.KindPrepareWrite
		}
		commands = append(commands, messenger.Command{Kind: kind, Name: name, Rest: need.Shape})
	}
	return commands, name
}

// needsReset reports whether the connection has values that the session doesn't have, or too many
// prepared statements.
func (c *Conn) needsReset(values Values, need *Prepared) bool {
	for name := range c.values {
		if _, ok := values[name]; !ok {
			return true
		}
	}
	return need != nil && c.prepared[*need] == "" && len(c.prepared) >= maxPreparedStatements
}

// ForgetState drops the record of the connection's state after the member reported an unknown
// prepared statement; the next SessionCommands establishes it again.
func (c *Conn) ForgetState() {
	c.values = Values{"": ""}
	clear(c.prepared)
}

// Exchange sends commands in one write and reads their replies until the deadline. After a timeout,
// ReadRemaining can read the rest; after any other error the connection is unusable. sent is false
// if no byte can have been sent.
func (c *Conn) Exchange(commands []messenger.Command, deadline time.Time) (replies []messenger.Reply, sent bool, err error) {
	c.buffer = c.buffer[:0]
	for _, x := range commands {
		c.buffer = c.codec.AppendCommand(c.buffer, x)
	}
	c.BeginWork()
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	if n, err := c.net.Write(c.buffer); err != nil {
		c.Close()
		return nil, n > 0, errors.Wrap(err, "send")
	}
	c.unreadReplies = len(commands)
	replies, err = c.read(deadline)
	return replies, true, err
}

// ReadRemaining reads the replies that are outstanding after a timeout.
func (c *Conn) ReadRemaining(deadline time.Time) error {
	_, err := c.read(deadline)
	return err
}

func (c *Conn) read(deadline time.Time) ([]messenger.Reply, error) {
	_ = c.net.SetReadDeadline(deadline)
	replies := make([]messenger.Reply, 0, c.unreadReplies)
	for c.unreadReplies > 0 {
		r, err := c.replies.Reply()
		if err != nil {
			if !IsTimeout(err) {
				c.Close()
			}
			return replies, errors.Wrap(err, "receive")
		}
		c.unreadReplies--
		replies = append(replies, r)
	}
	c.EndWork()
	if c.replies.Buffered() {
		c.Close()
		return replies, errors.Wrap(ErrBroken, "unexpected reply")
	}
	return replies, nil
}

// IsTimeout reports whether an error is an exceeded deadline.
func IsTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// healthy reports whether an idle connection is open and has no unread input. A write on one that
// the member has closed would have an unknown outcome although it never ran.
func (c *Conn) healthy() bool {
	if c.broken || c.unreadReplies > 0 || c.replies.Buffered() {
		return false
	}
	s, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	// raw.Read would fail once the deadline of the last exchange has passed. A usable idle
	// connection would then count as closed.
	idle := false
	err = raw.Control(func(fd uintptr) { idle = nothingToRead(int(fd)) })
	return err == nil && idle
}

// nothingToRead reports whether a socket is open and has neither unread bytes nor EOF.
func nothingToRead(fd int) bool {
	var b [1]byte
	for {
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return err == syscall.EAGAIN
		}
	}
}
