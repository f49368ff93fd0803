package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/inspector"
	"github.com/oriolegw/oriolegw/internal/loader"
	"github.com/oriolegw/oriolegw/internal/publisher"
	"github.com/oriolegw/oriolegw/pkg/verifier"
)

const platformFlagUsage = "the `address` of the platform's service, ip:port"

func prepareCheck(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	settings := f.String("settings", "", "the settings `file` of an instance")
	document := f.String("document", "", "the `file` of a configuration document")
	return func(_ context.Context, arguments []string) error {
		if err := requireArguments(arguments, 0, "none: pass files as flags"); err != nil {
			return err
		}
		if *settings == "" && *document == "" {
			return usageError{"flag -settings or -document is required"}
		}
		var all inspector.Problems
		for _, c := range []struct {
			file  string
			check func(string, []byte) inspector.Problems
		}{{*settings, checkSettings}, {*document, checkDocument}} {
			if c.file == "" {
				continue
			}
			text, err := os.ReadFile(c.file)
			if err != nil {
				return err
			}
			problems := c.check(c.file, text)
			if len(problems) == 0 {
				fmt.Fprintln(t.out, c.file+": no mistakes")
			}
			all = append(all, problems...)
		}
		return printProblems(t, all)
	}
}

func checkSettings(file string, text []byte) inspector.Problems {
	_, problems := loader.Check(file, text)
	return problems
}

func checkDocument(file string, text []byte) inspector.Problems {
	_, problems := configurer.Check(file, text)
	return problems
}

// printProblems prints the problems, one per line as compilers do, and returns an error
// if there are any.
func printProblems(t *terminal, problems inspector.Problems) error {
	for _, p := range problems {
		fmt.Fprintln(t.err, p)
	}
	if len(problems) > 0 {
		return errors.Errorf("%d mistakes", len(problems))
	}
	return nil
}

func prepareGet(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	platform := f.String("platform", "", platformFlagUsage)
	return func(ctx context.Context, arguments []string) error {
		if err := errors.Join(requireFlags("platform", *platform), requireArguments(arguments, 0, "none")); err != nil {
			return usageError{err.Error()}
		}
		now, err := t.currentDocument(ctx, *platform)
		if err != nil {
			return err
		}
		_, _ = t.out.Write(now.Text)
		fmt.Fprintf(t.err, "version %d\n", now.Version)
		return nil
	}
}

func (t *terminal) currentDocument(ctx context.Context, platform string) (publisher.Published, error) {
	store, closeStore := t.openStore(platform)
	defer closeStore()
	return (&publisher.Publisher{Store: store}).Current(ctx)
}

func prepareDiff(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	platform := f.String("platform", "", platformFlagUsage)
	return func(ctx context.Context, arguments []string) error {
		if err := errors.Join(requireFlags("platform", *platform), requireArguments(arguments, 1, "one document")); err != nil {
			return usageError{err.Error()}
		}
		text, err := os.ReadFile(arguments[0])
		if err != nil {
			return err
		}
		d, problems := configurer.Check(arguments[0], text)
		if len(problems) > 0 {
			return printProblems(t, problems)
		}
		now, err := t.currentDocument(ctx, *platform)
		if err != nil {
			return err
		}
		t.printChanges(configurer.Diff(now.Document, d))
		fmt.Fprintf(t.out, "compared with version %d: publish with -seen %d\n", now.Version, now.Version)
		return nil
	}
}

func (t *terminal) printChanges(changes []configurer.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(t.out, "no difference")
	}
	for _, c := range changes {
		fmt.Fprintln(t.out, c)
	}
}

func preparePublish(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	platform := f.String("platform", "", platformFlagUsage)
	baseVersion := f.Int64("seen", -1, "the `version` that the change is based on, as printed by diff and get; 0 for the first document")
	return func(ctx context.Context, arguments []string) error {
		if err := errors.Join(requireFlags("platform", *platform), requireArguments(arguments, 1, "one document")); err != nil {
			return usageError{err.Error()}
		}
		if *baseVersion < 0 {
			return usageError{"flag -seen is required"}
		}
		text, err := os.ReadFile(arguments[0])
		if err != nil {
			return err
		}
		return t.publish(ctx, *platform, publisher.Published{Version: *baseVersion}, arguments[0], text)
	}
}

// publish publishes a document and prints the result.
func (t *terminal) publish(ctx context.Context, platform string, seen publisher.Published, file string, text []byte) error {
	store, closeStore := t.openStore(platform)
	defer closeStore()
	r, err := (&publisher.Publisher{Store: store}).Publish(ctx, seen, file, text)
	var problems inspector.Problems
	if errors.As(err, &problems) {
		return printProblems(t, problems)
	}
	switch r.Outcome {
	case publisher.Accepted:
		fmt.Fprintf(t.out, "accepted as version %d\n", r.Current.Version)
		return nil
	case publisher.Conflict:
		return t.reportConflict(seen, r, file, text)
	case publisher.Unknown:
		return errors.Wrap(err, "outcome unknown, the document may be in force: check with get before publishing again")
	}
	return err
}

// reportConflict prints the differences of the version in force, which another operator
// published first.
func (t *terminal) reportConflict(seen publisher.Published, r publisher.Result, file string, text []byte) error {
	changes := r.Changes
	heading := "changes since then:"
	if seen.Document == nil { // only its version is known
		document, _ := configurer.Check(file, text)
		changes, heading = configurer.Diff(document, r.Current.Document), "differences from your document:"
	}
	fmt.Fprintln(t.out, heading)
	t.printChanges(changes)
	return errors.Errorf("nothing was changed: version %d is in force, not version %d", r.Current.Version, seen.Version)
}

func prepareVerifier(_ *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	return func(context.Context, []string) error {
		password, err := bufio.NewReader(t.in).ReadString('\n')
		password = strings.TrimRight(password, "\r\n")
		if password == "" {
			return errors.Errorf("no password on standard input: %v", err)
		}
		v, err := verifier.New(password)
		if err != nil {
			return err
		}
		fmt.Fprintln(t.out, v)
		return nil
	}
}
