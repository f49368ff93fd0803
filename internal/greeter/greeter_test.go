package greeter_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oriolegw/oriolegw/internal/greeter"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/standin/wirer"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

const address = "10.0.0.1:5432"

// known is the answer to a start-up that got as far as the choice of a service.
var known = refuser.NoService

type stage struct {
	*testing.T
	greeter *greeter.Greeter
	caller  *wirer.Host
	seen    map[string]string
}

// try runs a greeter on virtual time; its callers get as far as the service.
func try(t *testing.T, change func(*greeter.Greeter), run func(*stage)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := wirer.New(1)
		s := &stage{T: t, caller: n.Host("10.0.0.2", "a")}
		s.greeter = &greeter.Greeter{
			Address: address, Network: n.Host("10.0.0.1", "a"), Log: log.NewNopLogger(), Authentication: loader.AuthenticationTrust,
			Open: func(parameters map[string]string) (*relayer.Session, *refuser.Refusal) {
				s.seen = parameters
				return nil, refuser.New(known, "as far as it goes")
			},
		}
		change(s.greeter)
		ended := make(chan error, 1)
		go func() { ended <- s.greeter.Run(ctx) }()
		synctest.Wait()
		run(s)
		cancel()
		<-ended
	})
}

func (s *stage) dial() net.Conn {
	s.Helper()
	c, err := s.caller.Dial(s.Context(), address)
	must.NoError(s.T, err)
	return c
}

// refused reads the refusal that ends a connection.
func (s *stage) refused(c net.Conn, want *refuser.Reason) {
	s.Helper()
	f := pgproto3.NewFrontend(c, c)
	for {
		m, err := f.Receive()
		must.NoError(s.T, err)
		e, ok := m.(*pgproto3.ErrorResponse)
		if !ok {
			continue
		}
		code, _, _ := refuser.Parse(e.Hint)
		must.Eq(s.T, want.Code, code, must.Sprint(e.Detail))
		must.Eq(s.T, want.SQLState, e.Code)
		_, err = c.Read(make([]byte, 1))
		must.ErrorIs(s.T, err, io.EOF)
		return
	}
}

func startUp(version uint32, parameters map[string]string) []byte {
	b, err := (&pgproto3.StartupMessage{ProtocolVersion: version, Parameters: parameters}).Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}

func user(more ...string) map[string]string {
	p := map[string]string{"user": "crew", "database": "lockers"}
	for i := 0; i+1 < len(more); i += 2 {
		p[more[i]] = more[i+1]
	}
	return p
}

func encode(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return b
}

func code(n uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, n)
}

// Whatever a caller begins with, it gets one clear answer, and its connection
// ends.
func TestStartUp(t *testing.T) {
	v3 := uint32(pgproto3.ProtocolVersion30)
	for name, c := range map[string]struct {
		stream []byte
		want   *refuser.Reason
		// declined is how many requests for encryption get the answer no.
		declined int
	}{
		"protocol 3.0":        {startUp(v3, user()), known, 0},
		"protocol 3.2":        {startUp(pgproto3.ProtocolVersion32, user()), known, 0},
		"protocol 2.0":        {code(2 << 16), refuser.BadStartUp, 0},
		"protocol 4.0":        {code(4 << 16), refuser.BadStartUp, 0},
		"no user":             {startUp(v3, map[string]string{"database": "lockers"}), refuser.BadStartUp, 0},
		"replication":         {startUp(v3, user("replication", "database")), refuser.NoReplication, 0},
		"no replication":      {startUp(v3, user("replication", "off")), known, 0},
		"protocol extension":  {startUp(v3, user("_pq_.something", "on")), known, 0},
		"options":             {startUp(v3, user("options", "-c oriole.kind=drop-status")), known, 0},
		"options of a server": {startUp(v3, user("options", "-F")), refuser.BadStartUp, 0},
		"HTTP":                {[]byte("GET / HTTP/1.1\r\n\r\n"), refuser.BadStartUp, 0},
		"too long":            {[]byte{0, 1, 0, 0, 0, 3, 0, 0}, refuser.BadStartUp, 0},
		"TLS, which is off":   {append(encode(&pgproto3.SSLRequest{}), startUp(v3, user())...), known, 1},
		"GSSAPI":              {append(encode(&pgproto3.GSSEncRequest{}), startUp(v3, user())...), known, 1},
		"asked for TLS again": {bytes.Repeat(encode(&pgproto3.SSLRequest{}), 3), refuser.BadStartUp, 2},
	} {
		t.Run(name, func(t *testing.T) {
			try(t, func(*greeter.Greeter) {}, func(s *stage) {
				conn := s.dial()
				_, err := conn.Write(c.stream)
				must.NoError(s, err)
				declined := make([]byte, c.declined)
				_, err = io.ReadFull(conn, declined)
				must.NoError(s, err)
				must.Eq(s, strings.Repeat("N", c.declined), string(declined))
				s.refused(conn, c.want)
			})
		})
	}
}

// The parameter "options" carries what a driver can't say otherwise.
func TestOptions(t *testing.T) {
	for options, want := range map[string]string{
		`-c oriole.kind=drop-status`:                     "drop-status",
		`--oriole.kind=drop-status`:                      "drop-status",
		`-coriole.kind=a -c  oriole.kind=b`:              "b",
		`-c oriole.kind=past\ sheets -c search_path=a\\`: "past sheets",
	} {
		t.Run(options, func(t *testing.T) {
			try(t, func(*greeter.Greeter) {}, func(s *stage) {
				conn := s.dial()
				_, err := conn.Write(startUp(pgproto3.ProtocolVersion30, user("options", options)))
				must.NoError(s, err)
				s.refused(conn, known)
				must.Eq(s, want, s.seen["oriole.kind"])
			})
		})
	}
}

// A caller connects and says nothing, or a byte now and then. It is told so
// once its time is up, and its place is free again.
func TestSlowStartUp(t *testing.T) {
	try(t, func(g *greeter.Greeter) { g.Limits.AuthenticationTimeout = 2 * time.Second }, func(s *stage) {
		conn := s.dial()
		began := time.Now()
		for range 3 {
			_, err := conn.Write([]byte{0})
			must.NoError(s, err)
			time.Sleep(500 * time.Millisecond)
		}
		s.refused(conn, refuser.StartUpTimeout)
		must.Eq(s, 2*time.Second, time.Since(began))
		synctest.Wait()
		must.Eq(s, 0, s.greeter.Callers())
	})
}

// One caller more than the limit is told that there are too many; when one
// leaves, the next is served.
func TestTooManyCallers(t *testing.T) {
	try(t, func(g *greeter.Greeter) { g.Limits.Callers = 1 }, func(s *stage) {
		first, second := s.dial(), s.dial()
		synctest.Wait()
		_, err := second.Write(startUp(pgproto3.ProtocolVersion30, user()))
		must.NoError(s, err)
		s.refused(second, refuser.TooManyCallers)
		must.NoError(s, first.Close())
		synctest.Wait()
		third := s.dial()
		_, err = third.Write(startUp(pgproto3.ProtocolVersion30, user()))
		must.NoError(s, err)
		s.refused(third, known)
	})
}

// Without TLS no password is asked for, and nothing else is served either.
func TestEncryptionRequired(t *testing.T) {
	try(t, func(g *greeter.Greeter) { g.Mode = loader.EncryptionRequire }, func(s *stage) {
		conn := s.dial()
		_, err := conn.Write(startUp(pgproto3.ProtocolVersion30, user()))
		must.NoError(s, err)
		s.refused(conn, refuser.EncryptionRequired)
	})
}

// After StopAccepting new callers are refused as by a process that is gone; the
// one that is there is still served.
func TestStopAccepting(t *testing.T) {
	try(t, func(*greeter.Greeter) {}, func(s *stage) {
		conn := s.dial()
		synctest.Wait()
		s.greeter.StopAccepting()
		_, err := s.caller.Dial(s.Context(), address)
		must.Error(s, err)
		_, err = conn.Write(startUp(pgproto3.ProtocolVersion30, user()))
		must.NoError(s, err)
		s.refused(conn, known)
	})
}

// A caller that sends anything at all gets an answer or an end, and the greeter
// lives on.
func FuzzStartUp(f *testing.F) {
	f.Add(startUp(pgproto3.ProtocolVersion30, user()))
	f.Add(append(encode(&pgproto3.SSLRequest{}), startUp(pgproto3.ProtocolVersion30, user("options", `-c a=\`))...))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(code(80877102))
	f.Fuzz(func(t *testing.T, stream []byte) {
		try(t, func(g *greeter.Greeter) { g.Limits.AuthenticationTimeout = time.Second }, func(s *stage) {
			conn := s.dial()
			_, err := conn.Write(stream)
			must.NoError(s, err)
			_, _ = io.ReadAll(conn)
			again := s.dial()
			_, err = again.Write(startUp(pgproto3.ProtocolVersion30, user()))
			must.NoError(s, err)
			s.refused(again, known)
		})
	})
}
