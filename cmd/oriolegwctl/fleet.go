package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/publisher"
	"github.com/oriolegw/oriolegw/internal/reporter"
)

const (
	// maxPublishAttempts bounds the retries of a change while other operators publish.
	maxPublishAttempts = 5
	// statusPollInterval is the interval of status requests during a switchover.
	statusPollInterval = 100 * time.Millisecond
	maxResponseBytes   = 16 << 20
)

var errConcurrentChanges = errors.New("other operators changed the document at the same time, on every attempt")

// request requests a page of an instance and returns its body.
func (t *terminal) request(ctx context.Context, method, address, path string) ([]byte, error) {
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return t.network.Dial(ctx, address)
		},
	}}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, usageError{"invalid address: " + address}
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("%s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func (t *terminal) fetchState(ctx context.Context, address string) (reporter.State, error) {
	body, err := t.request(ctx, http.MethodGet, address, reporter.PathStatus)
	if err != nil {
		return reporter.State{}, err
	}
	return reporter.Decode(body)
}

func prepareStatus(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	instances := f.String("instances", "", "the status `addresses` of the instances, separated by commas")
	whole := f.Bool("whole", false, "also print groups and members")
	return func(ctx context.Context, arguments []string) error {
		if err := errors.Join(requireFlags("instances", *instances), requireArguments(arguments, 0, "none")); err != nil {
			return usageError{err.Error()}
		}
		failed := 0
		for _, a := range strings.Split(*instances, ",") {
			s, err := t.fetchState(ctx, a)
			switch {
			case err != nil:
				failed++
				fmt.Fprintf(t.out, "%s: no response: %v\n", a, err)
			case *whole:
				fmt.Fprintln(t.out, s.Text())
			default:
				first, _, _ := strings.Cut(s.Text(), "\n")
				fmt.Fprintf(t.out, "%s: %s\n", a, first)
			}
		}
		if failed > 0 {
			return errors.Errorf("%d instances did not respond", failed)
		}
		return nil
	}
}

func prepareDrain(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	platform := f.String("platform", "", platformFlagUsage)
	service := f.String("service", "", "the `name` of the target's service")
	member := f.String("member", "", "the `name` of the target to drain")
	undo := f.Bool("undo", false, "take a drained target back into service")
	instance := f.String("instance", "", "the status `address` of the instance to drain")
	return func(ctx context.Context, arguments []string) error {
		if err := requireArguments(arguments, 0, "none"); err != nil {
			return err
		}
		if *instance != "" {
			return t.drainInstance(ctx, *instance)
		}
		if err := requireFlags("platform", *platform, "service", *service, "member", *member); err != nil {
			return err
		}
		return t.setLeaving(ctx, *platform, *service, *member, !*undo)
	}
}

func (t *terminal) drainInstance(ctx context.Context, address string) error {
	body, err := t.request(ctx, http.MethodPost, address, reporter.PathDrain)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s: %s", address, body)
	return nil
}

// setLeaving publishes a member's leaving field. Since the change concerns only one
// field, it is retried on top of concurrently published versions.
func (t *terminal) setLeaving(ctx context.Context, platform, service, member string, leaving bool) error {
	store, closeStore := t.openStore(platform)
	defer closeStore()
	p := &publisher.Publisher{Store: store}
	for range maxPublishAttempts {
		seen, err := p.Current(ctx)
		if err != nil {
			return err
		}
		text, err := publisher.MarkLeaving(seen, service, member, leaving)
		if err != nil {
			return err
		}
		r, err := p.Publish(ctx, seen, "the changed document", text)
		if err != nil {
			return err
		}
		if r.Outcome == publisher.Accepted {
			fmt.Fprintf(t.out, "service %s member %s: leaving %t, version %d\n", service, member, leaving, r.Current.Version)
			return nil
		}
	}
	return errConcurrentChanges
}

func prepareSwitch(f *flag.FlagSet, t *terminal) func(context.Context, []string) error {
	platform := f.String("platform", "", platformFlagUsage)
	service := f.String("service", "", "the `name` of the service")
	instance := f.String("instance", "", "the status `address` of any instance, to observe the switchover")
	return func(ctx context.Context, arguments []string) error {
		if err := requireArguments(arguments, 0, "none"); err != nil {
			return err
		}
		if err := requireFlags("platform", *platform, "service", *service, "instance", *instance); err != nil {
			return err
		}
		return t.switchPrimary(ctx, *platform, *service, *instance)
	}
}

// switchPrimary marks the primary as leaving, waits for a new primary, and removes the
// mark, also on failure, since a marked member receives no requests.
func (t *terminal) switchPrimary(ctx context.Context, platform, service, instance string) error {
	old, err := t.currentPrimary(ctx, service, instance)
	if err != nil {
		return err
	}
	if old == "" {
		return errors.Errorf("service %s has no primary", service)
	}
	if err := t.setLeaving(ctx, platform, service, old, true); err != nil {
		return err
	}
	now, waitErr := t.waitForNewPrimary(ctx, service, instance, old)
	cleanupCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), t.timeout)
	defer cancel()
	if err := t.setLeaving(cleanupCtx, platform, service, old, false); err != nil {
		return errors.Wrapf(err, "member %s is still marked as leaving: use drain -undo to remove the mark", old)
	}
	if waitErr != nil {
		return errors.Wrapf(waitErr, "member %s is still the primary", old)
	}
	fmt.Fprintf(t.out, "service %s: primary %s, was %s\n", service, now, old)
	return nil
}

func (t *terminal) waitForNewPrimary(ctx context.Context, service, instance, old string) (string, error) {
	for {
		now, err := t.currentPrimary(ctx, service, instance)
		if err == nil && now != "" && now != old {
			return now, nil
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

func (t *terminal) currentPrimary(ctx context.Context, service, instance string) (string, error) {
	s, err := t.fetchState(ctx, instance)
	if err != nil {
		return "", err
	}
	for _, g := range s.Groups {
		if g.Service == service {
			return g.Primary, nil
		}
	}
	return "", errors.Errorf("instance %s has no service %q", instance, service)
}
