package acceptor_test

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
	"github.com/oriolegw/oriolegw/internal/acceptor"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/relayer"
	"github.com/oriolegw/oriolegw/internal/standin/netsimulator"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/shoenig/test/must"
)

const address = "10.0.0.1:5432"

// accepted is the refusal that the test's Open returns, after a successful start-up.
var accepted = refuser.NoService

type harness struct {
	*testing.T
	acceptor   *acceptor.Acceptor
	client     *netsimulator.Host
	parameters map[string]string
}

// runAcceptor runs an acceptor on virtual time. Its clients complete the start-up but get no session.
func runAcceptor(t *testing.T, change func(*acceptor.Acceptor), run func(*harness)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := netsimulator.New(1)
		s := &harness{T: t, client: n.Host("10.0.0.2", "a")}
		s.acceptor = &acceptor.Acceptor{
			Address: address, Network: n.Host("10.0.0.1", "a"), Log: log.NewNopLogger(), Authentication: loader.AuthenticationTrust,
			Open: func(p map[string]string) (*relayer.Session, *refuser.Refusal) {
				s.parameters = p
				return nil, refuser.New(accepted, "start-up complete")
			},
		}
		change(s.acceptor)
		stopped := make(chan error, 1)
		go func() { stopped <- s.acceptor.Run(ctx) }()
		synctest.Wait()
		run(s)
		cancel()
		<-stopped
	})
}

func (h *harness) dial() net.Conn {
	h.Helper()
	c, err := h.client.Dial(h.Context(), address)
	must.NoError(h.T, err)
	return c
}

// requireRefusal checks that the connection ends with the given refusal.
func (h *harness) requireRefusal(c net.Conn, want *refuser.Reason) {
	h.Helper()
	f := pgproto3.NewFrontend(c, c)
	for {
		m, err := f.Receive()
		must.NoError(h.T, err)
		e, ok := m.(*pgproto3.ErrorResponse)
		if !ok {
			continue
		}
		code, _, _ := refuser.Parse(e.Hint)
		must.Eq(h.T, want.Code, code, must.Sprint(e.Detail))
		must.Eq(h.T, want.SQLState, e.Code)
		_, err = c.Read(make([]byte, 1))
		must.ErrorIs(h.T, err, io.EOF)
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

func userParameters(extra ...string) map[string]string {
	p := map[string]string{"user": "crew", "database": "lockers"}
	for i := 0; i+1 < len(extra); i += 2 {
		p[extra[i]] = extra[i+1]
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

func requestCode(n uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{0, 0, 0, 8}, n)
}

// Every start-up, valid or not, gets exactly one response before the connection is closed.
func TestStartUp(t *testing.T) {
	v3 := uint32(pgproto3.ProtocolVersion30)
	for name, c := range map[string]struct {
		stream []byte
		want   *refuser.Reason
		// declined is the number of encryption requests that are declined.
		declined int
	}{
		"protocol 3.0":         {startUp(v3, userParameters()), accepted, 0},
		"protocol 3.2":         {startUp(pgproto3.ProtocolVersion32, userParameters()), accepted, 0},
		"protocol 2.0":         {requestCode(2 << 16), refuser.BadStartUp, 0},
		"protocol 4.0":         {requestCode(4 << 16), refuser.BadStartUp, 0},
		"no user":              {startUp(v3, map[string]string{"database": "lockers"}), refuser.BadStartUp, 0},
		"replication":          {startUp(v3, userParameters("replication", "database")), refuser.NoReplication, 0},
		"no replication":       {startUp(v3, userParameters("replication", "off")), accepted, 0},
		"protocol extension":   {startUp(v3, userParameters("_pq_.something", "on")), accepted, 0},
		"options":              {startUp(v3, userParameters("options", "-c oriole.kind=drop-status")), accepted, 0},
		"server options":       {startUp(v3, userParameters("options", "-F")), refuser.BadStartUp, 0},
		"HTTP":                 {[]byte("GET / HTTP/1.1\r\n\r\n"), refuser.BadStartUp, 0},
		"too long":             {[]byte{0, 1, 0, 0, 0, 3, 0, 0}, refuser.BadStartUp, 0},
		"TLS, disabled":        {append(encode(&pgproto3.SSLRequest{}), startUp(v3, userParameters())...), accepted, 1},
		"GSSAPI":               {append(encode(&pgproto3.GSSEncRequest{}), startUp(v3, userParameters())...), accepted, 1},
		"repeated TLS request": {bytes.Repeat(encode(&pgproto3.SSLRequest{}), 3), refuser.BadStartUp, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runAcceptor(t, func(*acceptor.Acceptor) {}, func(s *harness) {
				conn := s.dial()
				_, err := conn.Write(c.stream)
				must.NoError(s, err)
				declined := make([]byte, c.declined)
				_, err = io.ReadFull(conn, declined)
				must.NoError(s, err)
				must.Eq(s, strings.Repeat("N", c.declined), string(declined))
				s.requireRefusal(conn, c.want)
			})
		})
	}
}

// The parameter "options" sets parameters that a driver does not support by itself.
func TestOptions(t *testing.T) {
	for options, want := range map[string]string{
		`-c oriole.kind=drop-status`:                     "drop-status",
		`--oriole.kind=drop-status`:                      "drop-status",
		`-coriole.kind=a -c  oriole.kind=b`:              "b",
		`-c oriole.kind=past\ sheets -c search_path=a\\`: "past sheets",
	} {
		t.Run(options, func(t *testing.T) {
			runAcceptor(t, func(*acceptor.Acceptor) {}, func(s *harness) {
				conn := s.dial()
				_, err := conn.Write(startUp(pgproto3.ProtocolVersion30, userParameters("options", options)))
				must.NoError(s, err)
				s.requireRefusal(conn, accepted)
				must.Eq(s, want, s.parameters["oriole.kind"])
			})
		})
	}
}

// A client that sends nothing or single bytes is refused at the start-up timeout and no longer
// counts as connected.
func TestSlowStartUp(t *testing.T) {
	runAcceptor(t, func(g *acceptor.Acceptor) { g.Limits.AuthenticationTimeout = 2 * time.Second }, func(s *harness) {
		conn := s.dial()
		start := time.Now()
		for range 3 {
			_, err := conn.Write([]byte{0})
			must.NoError(s, err)
			time.Sleep(500 * time.Millisecond)
		}
		s.requireRefusal(conn, refuser.StartUpTimeout)
		must.Eq(s, 2*time.Second, time.Since(start))
		synctest.Wait()
		must.Eq(s, 0, s.acceptor.Callers())
	})
}

// A client above the limit is refused; after another disconnects, the next one is served.
func TestTooManyCallers(t *testing.T) {
	runAcceptor(t, func(g *acceptor.Acceptor) { g.Limits.Callers = 1 }, func(s *harness) {
		first, second := s.dial(), s.dial()
		synctest.Wait()
		_, err := second.Write(startUp(pgproto3.ProtocolVersion30, userParameters()))
		must.NoError(s, err)
		s.requireRefusal(second, refuser.TooManyCallers)
		must.NoError(s, first.Close())
		synctest.Wait()
		third := s.dial()
		_, err = third.Write(startUp(pgproto3.ProtocolVersion30, userParameters()))
		must.NoError(s, err)
		s.requireRefusal(third, accepted)
	})
}

// With TLS required, an unencrypted start-up is refused without a password request.
func TestEncryptionRequired(t *testing.T) {
	runAcceptor(t, func(g *acceptor.Acceptor) { g.EncryptionMode = loader.EncryptionRequire }, func(s *harness) {
		conn := s.dial()
		_, err := conn.Write(startUp(pgproto3.ProtocolVersion30, userParameters()))
		must.NoError(s, err)
		s.requireRefusal(conn, refuser.EncryptionRequired)
	})
}

// After StopAccepting new connections fail, while a connected client is still served.
func TestStopAccepting(t *testing.T) {
	runAcceptor(t, func(*acceptor.Acceptor) {}, func(s *harness) {
		conn := s.dial()
		synctest.Wait()
		s.acceptor.StopAccepting()
		_, err := s.client.Dial(s.Context(), address)
		must.Error(s, err)
		_, err = conn.Write(startUp(pgproto3.ProtocolVersion30, userParameters()))
		must.NoError(s, err)
		s.requireRefusal(conn, accepted)
	})
}

// FuzzStartUp checks that any input gets a response or a closed connection, and that other
// clients are still served.
func FuzzStartUp(f *testing.F) {
	f.Add(startUp(pgproto3.ProtocolVersion30, userParameters()))
	f.Add(append(encode(&pgproto3.SSLRequest{}), startUp(pgproto3.ProtocolVersion30, userParameters("options", `-c a=\`))...))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add(requestCode(80877102))
	f.Fuzz(func(t *testing.T, stream []byte) {
		runAcceptor(t, func(g *acceptor.Acceptor) { g.Limits.AuthenticationTimeout = time.Second }, func(s *harness) {
			conn := s.dial()
			_, err := conn.Write(stream)
			must.NoError(s, err)
			_, _ = io.ReadAll(conn)
			second := s.dial()
			_, err = second.Write(startUp(pgproto3.ProtocolVersion30, userParameters()))
			must.NoError(s, err)
			s.requireRefusal(second, accepted)
		})
	})
}
