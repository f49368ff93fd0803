package acceptor_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"database/sql"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/lib/pq"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/pkg/refuser"
	"github.com/oriolegw/oriolegw/pkg/verifier"
	"github.com/shoenig/test/must"
)

const (
	password  = "open sesame"
	insertSQL = "INSERT INTO ledger (key, value) VALUES ($1, $2)"
	selectSQL = "SELECT value FROM ledger WHERE key = $1"
)

// fleet is a simulated fleet whose instances require TLS and a password.
type fleet struct {
	*testing.T
	*stager.Fleet
	ctx context.Context
}

// certificate writes a self-signed certificate for the instances.
func certificate(t *testing.T) loader.Encryption {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	// The synctest clock starts in the year 2000.
	c := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Unix(0, 0), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)}
	encoded, err := x509.CreateCertificate(rand.Reader, c, c, key.Public(), key)
	must.NoError(t, err)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	must.NoError(t, err)
	e := loader.Encryption{Mode: loader.EncryptionRequire, Certificate: filepath.Join(t.TempDir(), "tls.crt"), Key: filepath.Join(t.TempDir(), "tls.key")}
	must.NoError(t, os.WriteFile(e.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: encoded}), 0o600))
	must.NoError(t, os.WriteFile(e.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600))
	return e
}

func withSecureFleet(t *testing.T, run func(*fleet)) {
	e := certificate(t)
	v, err := verifier.New(password)
	must.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		simulated, err := stager.Start(ctx, stager.Plan{
			ZoneLatency: time.Millisecond, ClientLatency: 3 * time.Millisecond,
			Users:    []configurer.User{{Name: "crew", Verifier: v.String()}},
			Settings: func(s *loader.Settings) { s.Authentication, s.Encryption = loader.AuthenticationPassword, e },
		})
		must.NoError(t, err)
		defer func() {
			simulated.Close()
			// pgx closes a connection whose query was cancelled in a background goroutine,
			// for up to 15 s.
			time.Sleep(20 * time.Second)
		}()
		f := &fleet{T: t, Fleet: simulated, ctx: ctx}
		f.awaitReady()
		run(f)
	})
}

// awaitReady waits until every instance accepts clients.
func (f *fleet) awaitReady() {
	f.Helper()
	for i := range f.Instances {
		for {
			c, err := f.pgx(i, "crew", password, "require")
			if err == nil {
				must.NoError(f, c.Close(f.ctx))
				break
			}
			must.NoError(f, f.ctx.Err(), must.Sprint(err))
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (f *fleet) address(instance int, user, secret, mode string) string {
	return fmt.Sprintf("postgres://%s:%s@%s:5432/%s?sslmode=%s", user, "open%20sesame"+secret[len(password):], f.Instances[instance].IP, stager.DefaultService, mode)
}

func (f *fleet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return f.Network.Host("10.0.9.1", "callers").Dial(ctx, address)
}

func (f *fleet) pgx(instance int, user, secret, mode string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(f.address(instance, user, secret, mode))
	must.NoError(f, err)
	c.DialFunc = f.dial
	c.LookupFunc = func(_ context.Context, host string) ([]string, error) { return []string{host}, nil }
	return pgx.ConnectConfig(f.ctx, c)
}

// dialer connects lib/pq to the simulated network.
type dialer struct{ *fleet }

func (d dialer) Dial(network, address string) (net.Conn, error) {
	return d.dial(d.ctx, network, address)
}

func (d dialer) DialTimeout(network, address string, _ time.Duration) (net.Conn, error) {
	return d.dial(d.ctx, network, address)
}

func (d dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dial(ctx, network, address)
}

func (f *fleet) pq(instance int) *sql.DB {
	c, err := pq.NewConnector(f.address(instance, "crew", password, "require"))
	must.NoError(f, err)
	c.Dialer(dialer{f})
	return sql.OpenDB(c)
}

func requireRefusal(t *testing.T, err error, want *refuser.Reason) {
	t.Helper()
	var e *pgconn.PgError
	must.True(t, errors.As(err, &e), must.Sprint(err))
	code, outcome, _ := refuser.Parse(e.Hint)
	must.Eq(t, want.Code, code)
	must.Eq(t, want.Outcome, outcome)
}

func TestPasswords(t *testing.T) {
	withSecureFleet(t, func(f *fleet) {
		_, err := f.pgx(0, "crew", password+"!", "require")
		requireRefusal(f.T, err, refuser.BadPassword)
		_, err = f.pgx(0, "nobody", password, "require")
		requireRefusal(f.T, err, refuser.BadPassword)
		_, err = f.pgx(0, "crew", password, "disable")
		requireRefusal(f.T, err, refuser.EncryptionRequired)
	})
}

// pgx writes through one instance, with a prepared statement, a batch and a transaction, and
// reads the writes through another.
func TestPGX(t *testing.T) {
	withSecureFleet(t, func(f *fleet) {
		a, err := f.pgx(0, "crew", password, "require")
		must.NoError(f, err)
		defer a.Close(f.ctx)
		_, err = a.Prepare(f.ctx, "lodge", insertSQL)
		must.NoError(f, err)
		for i := range 3 {
			_, err = a.Exec(f.ctx, "lodge", fmt.Sprint("sheet-", i), "lodged")
			must.NoError(f, err)
		}
		b := &pgx.Batch{}
		for i := range 3 {
			b.Queue(selectSQL, fmt.Sprint("sheet-", i)).QueryRow(func(row pgx.Row) error {
				var v string
				must.NoError(f, row.Scan(&v))
				must.Eq(f, "lodged", v)
				return nil
			})
		}
		must.NoError(f, a.SendBatch(f.ctx, b).Close())
		must.NoError(f, pgx.BeginFunc(f.ctx, a, func(tx pgx.Tx) error {
			_, err := tx.Exec(f.ctx, insertSQL, "sheet-4", "open")
			must.NoError(f, err)
			_, err = tx.Exec(f.ctx, "UPDATE ledger SET value = $1 WHERE key = $2", "signed", "sheet-4")
			return err
		}))
		c, err := f.pgx(1, "crew", password, "require")
		must.NoError(f, err)
		defer c.Close(f.ctx)
		var v string
		must.NoError(f, c.QueryRow(f.ctx, selectSQL, "sheet-4").Scan(&v))
		must.Eq(f, "signed", v)
	})
}

// lib/pq writes through one instance, with a prepared statement, a commit and a rollback, and
// reads through another.
func TestPQ(t *testing.T) {
	withSecureFleet(t, func(f *fleet) {
		a := f.pq(0)
		defer a.Close()
		p, err := a.PrepareContext(f.ctx, insertSQL)
		must.NoError(f, err)
		_, err = p.ExecContext(f.ctx, "sheet-1", "lodged")
		must.NoError(f, err)
		must.NoError(f, p.Close())
		for key, commit := range map[string]bool{"sheet-2": true, "sheet-3": false} {
			tx, err := a.BeginTx(f.ctx, nil)
			must.NoError(f, err)
			_, err = tx.ExecContext(f.ctx, insertSQL, key, "lodged")
			must.NoError(f, err)
			if commit {
				must.NoError(f, tx.Commit())
				continue
			}
			must.NoError(f, tx.Rollback())
		}
		b := f.pq(1)
		defer b.Close()
		for key, want := range map[string]error{"sheet-1": nil, "sheet-2": nil, "sheet-3": sql.ErrNoRows} {
			var v string
			must.Eq(f, want, b.QueryRowContext(f.ctx, selectSQL, key).Scan(&v))
		}
	})
}
