// Package player plays scenarios in a small language of its own over testscript:
// a line is a command, and commands stage a fleet, act as callers, throw faults
// and state what is expected. All of it happens on virtual time.
package player

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
)

type (
	// Player holds the state of one scenario: the fleet and the callers. Make it
	// inside the bubble and call Do for each line.
	Player struct {
		Log log.Logger

		ctx    context.Context
		fleet  *stager.Fleet
		caller map[string]*caller
	}

	// Command is one word of the language, described for readers.
	Command struct {
		Name, Usage, Text string
		// Min is the least number of arguments.
		Min int
		Run func(p *Player, a []string) (string, error)
	}

	// caller is one session, by the name that the scenario gave it.
	caller struct {
		service string
		entry   *stager.Instance
		conn    *pgx.Conn
		token   string
		done    chan string // what a statement in the background printed
	}
)

// Commands lists the language.
func Commands() []Command {
	all := append(append([]Command{}, callerCommands...), faultCommands...)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// New makes a player; Close ends what it started.
func New(ctx context.Context, logger log.Logger) *Player {
	return &Player{Log: logger, ctx: ctx, caller: map[string]*caller{}}
}

// Close ends the callers and the fleet.
func (p *Player) Close() {
	for _, c := range p.caller {
		if c.conn != nil {
			_ = c.conn.Close(p.ctx)
		}
	}
	if p.fleet != nil {
		p.fleet.Close()
	}
}

// Do plays one line and returns what it prints.
func (p *Player) Do(line []string) (string, error) {
	for _, c := range Commands() {
		if c.Name != line[0] {
			continue
		}
		a := line[1:]
		if len(a) < c.Min {
			return "", errors.Errorf("usage: %s %s", c.Name, c.Usage)
		}
		if p.fleet == nil && c.Name != "stage" {
			return "", errors.New("a scenario begins with stage")
		}
		return c.Run(p, a)
	}
	return "", errors.Errorf("no command %q", line[0])
}

// options splits name=value arguments from the others.
func options(a []string) (words []string, named map[string]string) {
	named = map[string]string{}
	for _, s := range a {
		if k, v, ok := strings.Cut(s, "="); ok {
			named[k] = v
			continue
		}
		words = append(words, s)
	}
	return words, named
}

func duration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Wrap(err, "duration")
	}
	return d, nil
}

func (p *Player) find(name string) (*caller, error) {
	c := p.caller[name]
	if c == nil || c.conn == nil {
		return nil, errors.Errorf("no caller %q: connect it first", name)
	}
	return c, nil
}

func (p *Player) entry(name string) (*stager.Instance, error) {
	for _, e := range p.fleet.Instances {
		if e.Name == name || e.Name == "entry-"+name {
			return e, nil
		}
	}
	return nil, errors.Errorf("no instance %q", name)
}

func (p *Player) target(name string) (*stager.Target, error) {
	if name == "primary" {
		if t := p.fleet.Primary(stager.DefaultService); t != nil {
			return t, nil
		}
		return nil, errors.New("no primary")
	}
	if t := p.fleet.Target(name); t != nil {
		return t, nil
	}
	return nil, errors.Errorf("no target %q", name)
}

// place returns what a cut names: a zone, "platform", or a process's IP.
func (p *Player) place(name string) string {
	if e, err := p.entry(name); err == nil {
		return e.IP
	}
	if t, err := p.target(name); err == nil {
		return t.IP
	}
	return name
}

func outcome(err error) string {
	o, code := stager.OutcomeOf(err)
	if code == "" {
		return string(o)
	}
	return fmt.Sprintf("%s %s", o, code)
}
