// Command oriolegwctl is the operators' command-line tool. It validates, compares
// and publishes configuration documents, shows the state of instances, and drains
// targets and instances.
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
		// prepare declares the flags and returns the function to run after parsing.
		prepare func(*flag.FlagSet, *terminal) func(context.Context, []string) error
	}

	// terminal holds the inputs and outputs of a subcommand; tests replace them.
	terminal struct {
		in       io.Reader
		out, err io.Writer
		network  networker.Network
		// openStore opens the platform's store and returns it with a function to close it.
		openStore func(address string) (storer.Store, func())
		// timeout bounds the command, and separately its cleanup.
		timeout time.Duration
	}

	// usageError reports invalid arguments.
	usageError struct{ message string }
)

// Exit codes and the default timeout.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2

	defaultTimeout = 10 * time.Second
)

// Error implements error.
func (e usageError) Error() string { return e.message }

var commands = []command{
	{"check", "[-settings FILE] [-document FILE]", "validate settings and documents, and print all mistakes", prepareCheck},
	{"get", "-platform ADDRESS", "print the published document", prepareGet},
	{"diff", "-platform ADDRESS FILE", "show what publishing a document would change", prepareDiff},
	{"publish", "-platform ADDRESS -seen VERSION FILE", "publish a document if the version in force is still the given one", preparePublish},
	{"status", "-instances ADDRESS,ADDRESS", "show the state of instances", prepareStatus},
	{"drain", "-platform ADDRESS -service NAME -member NAME | -instance ADDRESS", "drain a target or an instance", prepareDrain},
	{"switch", "-platform ADDRESS -service NAME -instance ADDRESS", "perform a planned switchover of a group's primary", prepareSwitch},
	{"settings", "[-running FILE] FILE", "validate the settings of an entry instance on the hosting platform, and show when changes take effect", prepareSettings},
	{"explain", "[-log FILE] ID", "explain the outcome of a request from the logs of entry instances", prepareExplain},
	{"report", "[-o FILE] LOG...", "write an HTML report with plots and tables from the logs of entry instances", prepareReport},
	{"customers", "-instances ADDRESS,ADDRESS [-customer NAME]", "show customers of entry instances on the hosting platform: rate limit, usage, connections, refusals", prepareCustomers},
	{"limits", "-instances ADDRESS,ADDRESS [CUSTOMER]", "show which customers are affected most by limits and overload, or the schedule of one customer", prepareLimits},
	{"verifier", "", "read a password from standard input and print its verifier for the document", prepareVerifier},
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := &terminal{in: os.Stdin, out: os.Stdout, err: os.Stderr, network: networker.TCP{}, openStore: openPlatformStore}
	os.Exit(run(ctx, t, os.Args[1:]))
}

func openPlatformStore(address string) (storer.Store, func()) {
	g := (&storer.Client{Address: address, Network: networker.TCP{}}).Open()
	return g, g.Close
}

func usage(w io.Writer) {
	fmt.Fprint(w, "oriolegwctl is the operators' tool of the proxy.\n\nUsage: oriolegwctl COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n")
	for _, c := range commands {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\noriolegwctl COMMAND -help describes the flags of a command.\nExit codes: 0 success, 1 failed or refused, 2 invalid usage.\n")
}

// run runs the command line and returns the exit code.
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
	timeout := f.Duration("timeout", defaultTimeout, "time limit of the command")
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
	var usageErr usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usageErr):
		fmt.Fprintf(t.err, "oriolegwctl %s: %v\n\n", c.name, err)
		f.Usage()
		return exitUsage
	}
	fmt.Fprintf(t.err, "oriolegwctl %s: %v\n", c.name, err)
	return exitFailed
}

// requireFlags takes pairs of flag names and values, and returns a usage error for the
// first empty value.
func requireFlags(flags ...string) error {
	for i := 0; i+1 < len(flags); i += 2 {
		if flags[i+1] == "" {
			return usageError{"flag -" + flags[i] + " is required"}
		}
	}
	return nil
}

// requireArguments returns a usage error unless there are exactly count arguments.
func requireArguments(arguments []string, count int, expected string) error {
	if len(arguments) != count {
		return usageError{fmt.Sprintf("%d arguments given, expected %s", len(arguments), expected)}
	}
	return nil
}
