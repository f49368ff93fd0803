//go:build second_review

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

type (
	// client is a client's session.
	client struct {
		conn    net.Conn
		in      *bufio.Reader
		session string
		record  *record
	}

	answer struct {
		rows                   []string
		signature, code, state string
		position               string
	}

	// record is record.txt.
	record struct {
		mutex sync.Mutex
		out   *bufio.Writer
		start time.Time
	}
)

func (r *record) line(what string, fields ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(fields); i += 2 {
		v := fmt.Sprint(fields[i+1])
		if v == "" || strings.ContainsAny(v, " \r\n\"") {
			v = fmt.Sprintf("%q", v)
		}
		fmt.Fprintf(r.out, " %v=%s", fields[i], v)
	}
	fmt.Fprintln(r.out)
}

func (r *record) flush() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.out.Flush()
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func dial(r *record, address, database string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReaderSize(conn, 1<<16), session: newID()[:6], record: r}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "STARTUP %s\r\n", database)
	line, err := readMessage(c.in)
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("start: %q %v", line, err)
	}
	return c, nil
}

// query sends a statement under a new ID and reads its answer.
func (c *client) query(text string) (string, answer, error) {
	id := newID()
	a, err := c.send(id, "QUERY "+id+" "+text+"\r\n", text)
	return id, a, err
}

func (c *client) send(id, message, shown string) (answer, error) {
	c.record.line("sent", "session", c.session, "statement", id, "text", shown)
	_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
	if _, err := c.conn.Write([]byte(message)); err != nil {
		c.record.line("broken", "session", c.session, "statement", id, "cause", err)
		return answer{}, err
	}
	a, err := c.read()
	if err != nil {
		c.record.line("broken", "session", c.session, "statement", id, "cause", err)
		return a, err
	}
	c.record.line("answered", "session", c.session, "statement", id, "code", a.code, "signature", a.signature, "rows", len(a.rows), "state", a.state, "position", a.position)
	return a, nil
}

var errProtocol = errors.New("unexpected message")

func (c *client) read() (answer, error) {
	var a answer
	for {
		line, err := readMessage(c.in)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.signature = rest
		case "ERROR":
			a.code = rest
		case "READY":
			a.state, a.position, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			return a, errProtocol
		}
	}
}

func (c *client) close() {
	_, _ = c.conn.Write([]byte("TERMINATE\r\n"))
	_ = c.conn.Close()
}
