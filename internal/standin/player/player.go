// Package player runs scenario scripts for testscript on virtual time. Its commands start
// a fleet, act as clients and inject faults.
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
	// Player holds the fleet and the client sessions of one scenario. Create it inside
	// the synctest bubble and call Do for each line.
	Player struct {
		Log log.Logger

		ctx     context.Context
		fleet   *stager.Fleet
		callers map[string]*caller
	}

	// Command is one command of the scenario language with its documentation.
	Command struct {
		Name, Usage, Description string
		// MinArgs is the minimum number of arguments.
		MinArgs int
		Run     func(p *Player, a []string) (string, error)
	}

	// caller is a named client session of the scenario.
	caller struct {
		service    string
		instance   *stager.Instance
		conn       *pgx.Conn
		token      string
		background chan string // receives the output of the background statement
	}
)

// Commands returns all commands, sorted by name.
func Commands() []Command {
	all := append(append([]Command{}, callerCommands...), faultCommands...)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// New returns a player; the caller must close it.
func New(ctx context.Context, logger log.Logger) *Player {
	return &Player{Log: logger, ctx: ctx, callers: map[string]*caller{}}
}

// Close closes the sessions and stops the fleet.
func (p *Player) Close() {
	for _, c := range p.callers {
		if c.conn != nil {
			_ = c.conn.Close(p.ctx)
		}
	}
	if p.fleet != nil {
		p.fleet.Close()
	}
}

// Do runs one line and returns its output.
func (p *Player) Do(line []string) (string, error) {
	for _, c := range Commands() {
		if c.Name != line[0] {
			continue
		}
		a := line[1:]
		if len(a) < c.MinArgs {
			return "", errors.Errorf("usage: %s %s", c.Name, c.Usage)
		}
		if p.fleet == nil && c.Name != "stage" {
			return "", errors.New("a scenario must begin with stage")
		}
		return c.Run(p, a)
	}
	return "", errors.Errorf("unknown command %q", line[0])
}

// splitOptions separates name=value arguments from the others.
func splitOptions(a []string) (words []string, options map[string]string) {
	options = map[string]string{}
	for _, s := range a {
		if k, v, ok := strings.Cut(s, "="); ok {
			options[k] = v
			continue
		}
		words = append(words, s)
	}
	return words, options
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Wrap(err, "duration")
	}
	return d, nil
}

func (p *Player) findCaller(name string) (*caller, error) {
	c := p.callers[name]
	if c == nil || c.conn == nil {
		return nil, errors.Errorf("no caller %q: connect it first", name)
	}
	return c, nil
}

func (p *Player) findInstance(name string) (*stager.Instance, error) {
	for _, e := range p.fleet.Instances {
		if e.Name == name || e.Name == "entry-"+name {
			return e, nil
		}
	}
	return nil, errors.Errorf("no instance %q", name)
}

func (p *Player) findTarget(name string) (*stager.Target, error) {
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

// resolveEndpoint returns the IP of the named process; other names, zones and "platform",
// are returned as they are.
func (p *Player) resolveEndpoint(name string) string {
	if e, err := p.findInstance(name); err == nil {
		return e.IP
	}
	if t, err := p.findTarget(name); err == nil {
		return t.IP
	}
	return name
}

func formatOutcome(err error) string {
	o, code := stager.OutcomeOf(err)
	if code == "" {
		return string(o)
	}
	return fmt.Sprintf("%s %s", o, code)
}
