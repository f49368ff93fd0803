// Command oriolegw-fleet starts a small fleet on loopback and, with -run, sends
// sessions through it and prints what they saw.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/starter"
)

func main() {
	f := &starter.Fleet{}
	flag.StringVar(&f.Programs, "programs", "build", "the `directory` of the built programs")
	flag.StringVar(&f.Work, "work", "build/fleet", "the `directory` for settings and logs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, f); err != nil {
		fmt.Fprintln(os.Stderr, "oriolegw-fleet:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, f *starter.Fleet) error {
	defer f.Stop()
	if err := f.Start(ctx); err != nil {
		return err
	}
	a, err := pgx.Connect(ctx, "postgres://crew@"+f.Entries[0].Address+"/"+starter.ServiceName+"?sslmode=disable")
	if err != nil {
		return err
	}
	defer a.Close(ctx)
	if _, err := a.Exec(ctx, "INSERT INTO ledger (key, value) VALUES ($1, $2)", "sheet-1", "lodged"); err != nil {
		return err
	}
	fmt.Printf("wrote sheet-1 through %s\n", f.Entries[0].Name)
	c, err := pgx.ParseConfig("postgres://crew@" + f.Entries[1].Address + "/" + starter.ServiceName + "?sslmode=disable")
	if err != nil {
		return err
	}
	c.RuntimeParams["oriole.token"] = a.PgConn().ParameterStatus("oriole.token")
	b, err := pgx.ConnectConfig(ctx, c)
	if err != nil {
		return err
	}
	defer b.Close(ctx)
	var v string
	if err := b.QueryRow(ctx, "SELECT value FROM ledger WHERE key = $1", "sheet-1").Scan(&v); err != nil {
		return err
	}
	fmt.Printf("read sheet-1 = %q through %s\n", v, f.Entries[1].Name)
	return nil
}
