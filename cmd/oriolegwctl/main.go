// Command oriolegwctl is the operators' program: it checks settings and
// documents, shows differences, publishes, shows what is in force where, and
// drains targets and instances.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/networker"
	"github.com/oriolegw/oriolegw/internal/storer"
)

type (
	// command is one subcommand.
	command struct {
		name      string
		arguments string
		summary   string
		// prepare declares the flags and returns what runs after parsing.
		prepare func(*flag.FlagSet, *terminal) func(context.Context, []string) error
	}

	// terminal is what a subcommand reads and writes.
	terminal struct {
		in       io.Reader
		out, err io.Writer
		network  networker.Network
		// openStore opens the platform's openStore.
		openStore func(address string) (storer.Store, func())
		// timeout bounds the whole command, and what must follow it.
		timeout time.Duration
	}

	// usageError is a mistake in the arguments.
	usageError struct{ message string }
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	defaultTimeout = 10 * time.Second
)

// Error implements error.
func (e usageError) Error() string { return e.message }

var commands = []command{
	{"check", "[-settings FILE] [-document FILE]", "check settings and documents; print every mistake", prepareCheck},
	{"get", "-platform ADDRESS", "print the published document", prepareGet},
	{"diff", "-platform ADDRESS FILE", "show what publishing a document would change", prepareDiff},
	{"publish", "-platform ADDRESS -seen VERSION FILE", "put a document into force, if the version seen still is", preparePublish},
	{"status", "-instances ADDRESS,ADDRESS", "show what is in force on which instance", prepareStatus},
	{"drain", "-platform ADDRESS -service NAME -member NAME | -instance ADDRESS", "make a target or an instance leave", prepareDrain},
	{"switch", "-platform ADDRESS -service NAME -instance ADDRESS", "change a group's primary, planned", prepareSwitch},
	{"settings", "[-running FILE] FILE", "check the settings of an entry instance on the users' platform, and say what a change does when", prepareSettings},
	{"explain", "[-log FILE] ID", "show what led to the fate of a request, from the logs of entry instances", prepareExplain},
	{"report", "[-o FILE] LOG...", "write a page of plots and tables of what entry instances logged", prepareReport},
	{"customers", "-instances ADDRESS,ADDRESS [-customer NAME]", "show customers of entry instances on the users' platform: limit, use, connections, refusals", prepareCustomers},
	{"verifier", "", "read a password from standard input, print its verifier for the document", prepareVerifier},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := &terminal{in: os.Stdin, out: os.Stdout, err: os.Stderr, network: networker.TCP{}, openStore: openStore}
	os.Exit(run(ctx, t, os.Args[1:]))
}

func openStore(address string) (storer.Store, func()) {
	g := (&storer.Gateway{Address: address, Network: networker.TCP{}}).Open()
	return g, g.Close
}

func usage(w io.Writer) {
	fmt.Fprint(w, "oriolegwctl is the operators' program of the proxy.\n\nUsage: oriolegwctl COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\noriolegwctl COMMAND -help describes the flags of a command.\nExit codes: 0 done, 1 failed or refused, 2 wrong usage.\n")
}

// run carries out one command line and returns the exit code.
func run(ctx context.Context, t *terminal, arguments []string) int {
	if len(arguments) == 0 {
		usage(t.err)
		return exitUsage
	}
	if a := arguments[0]; a == "-help" || a == "--help" || a == "-h" || a == "help" {
		usage(t.out)
		return exitOK
	}
	for _, c := range commands {
		if c.name == arguments[0] {
			return c.run(ctx, t, arguments[1:])
		}
	}
	fmt.Fprintf(t.err, "oriolegwctl: unknown command %q\n\n", arguments[0])
	usage(t.err)
	return exitUsage
}

func (c *command) run(ctx context.Context, t *terminal, arguments []string) int {
	f := flag.NewFlagSet(c.name, flag.ContinueOnError)
	f.SetOutput(t.err)
	f.Usage = func() {
		fmt.Fprintf(f.Output(), "oriolegwctl %s: %s.\n\nUsage: oriolegwctl %s %s\n\n", c.name, c.summary, c.name, c.arguments)
		f.PrintDefaults()
	}
	timeout := f.Duration("timeout", defaultTimeout, "how long to try")
	body := c.prepare(f, t)
	if err := f.Parse(arguments); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		return exitUsage
	}
	t.timeout = *timeout
	ctx, cancel := context.WithTimeout(ctx, *timeout)
	defer cancel()
	err := body(ctx, f.Args())
	var wrong usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &wrong):
		fmt.Fprintf(t.err, "oriolegwctl %s: %v\n\n", c.name, err)
		f.Usage()
		return exitUsage
	}
	fmt.Fprintf(t.err, "oriolegwctl %s: %v\n", c.name, err)
	return exitFailed
}

// requireFlags reports the first flag that is missing.
func requireFlags(flags ...string) error {
	for i := 0; i+1 < len(flags); i += 2 {
		if flags[i+1] == "" {
			return usageError{"flag -" + flags[i] + " is needed"}
		}
	}
	return nil
}

// requireArguments reports whether there are exactly so many arguments.
func requireArguments(arguments []string, count int, what string) error {
	if len(arguments) != count {
		return usageError{fmt.Sprintf("%d arguments given, want %s", len(arguments), what)}
	}
	return nil
}
