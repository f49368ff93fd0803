package player

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/standin/replicator"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
	"github.com/oriolegw/oriolegw/internal/storer"
)

var faultCommands = []Command{
	{
		Name: "crash", Usage: "TARGET|INSTANCE|primary", MinArgs: 1, Description: "Crashes a process.",
		Run: func(p *Player, a []string) (string, error) {
			if e, err := p.findInstance(a[0]); err == nil {
				p.fleet.KillInstance(e)
				return "", nil
			}
			t, err := p.findTarget(a[0])
			if err == nil {
				p.fleet.KillTarget(t)
				return t.Name + "\n", nil
			}
			return "", err
		},
	},
	{
		Name: "restart", Usage: "TARGET|INSTANCE", MinArgs: 1,
		Description: "Restarts a crashed process: a target with its log, an instance without state.",
		Run: func(p *Player, a []string) (string, error) {
			if e, err := p.findInstance(a[0]); err == nil {
				p.fleet.StartInstance(e)
				return "", nil
			}
			t, err := p.findTarget(a[0])
			if err == nil {
				p.fleet.RestartTarget(t)
			}
			return "", err
		},
	},
	{
		Name: "cut", Usage: "A B", MinArgs: 2, Description: "Stalls all traffic between two endpoints: zones, platform, targets or instances.",
		Run: func(p *Player, a []string) (string, error) {
			p.fleet.Network.Partition(p.resolveEndpoint(a[0]), p.resolveEndpoint(a[1]))
			return "", nil
		},
	},
	{
		Name: "heal", Usage: "[A B]", Description: "Removes one cut, or all; stalled data is delivered.",
		Run: func(p *Player, a []string) (string, error) {
			if len(a) < 2 {
				p.fleet.Network.HealAll()
				return "", nil
			}
			p.fleet.Network.Heal(p.resolveEndpoint(a[0]), p.resolveEndpoint(a[1]))
			return "", nil
		},
	},
	newTargetFault("freeze", "", "Suspends a target; its connections stay open.", func(t *stager.Target, _ string) error {
		t.Faults.Freeze()
		return nil
	}),
	newTargetFault("thaw", "", "Resumes a frozen target.", func(t *stager.Target, _ string) error {
		t.Faults.Unfreeze()
		return nil
	}),
	newTargetFault("silence", "", "Stops all responses on the target's open connections permanently.", func(t *stager.Target, _ string) error {
		t.BlackholeConnections()
		return nil
	}),
	newTargetFault("lose-answer", "", "Drops the response to the target's next write after it takes effect.", func(t *stager.Target, _ string) error {
		t.Faults.DropNextResponse()
		return nil
	}),
	newTargetFault("lag", "D", "Sets the delay before a replica applies what it has received.", delayFault((*replicator.Faults).SetReplayLag)),
	newTargetFault("stream-lag", "D", "Sets the replication delay of a replica.", delayFault((*replicator.Faults).SetStreamLag)),
	newTargetFault("slow", "D", "Adds D to the duration of each statement.", delayFault((*replicator.Faults).SetStatementDelay)),
	{
		Name: "store", Usage: "down|up|slow D|lose-answers N|lapse", MinArgs: 1, Description: "Injects faults into the platform's store.",
		Run: runStore,
	},
	{
		Name: "primary", Description: "Prints the primary of the highest term, and that term.",
		Run: func(p *Player, _ []string) (string, error) {
			t := p.fleet.Primary(stager.DefaultService)
			if t == nil {
				return "none\n", nil
			}
			return fmt.Sprintf("%s term %d\n", t.Name, t.Status().Term), nil
		},
	},
}

func newTargetFault(name, usage, text string, inject func(t *stager.Target, argument string) error) Command {
	return Command{
		Name: name, Usage: strings.TrimSpace("TARGET|primary " + usage), Description: text, MinArgs: 1 + len(strings.Fields(usage)),
		Run: func(p *Player, a []string) (string, error) {
			t, err := p.findTarget(a[0])
			if err != nil {
				return "", err
			}
			return "", inject(t, strings.Join(a[1:], " "))
		},
	}
}

func delayFault(set func(*replicator.Faults, time.Duration)) func(*stager.Target, string) error {
	return func(t *stager.Target, s string) error {
		d, err := parseDuration(s)
		if err == nil {
			set(&t.Faults, d)
		}
		return err
	}
}

func runStore(p *Player, a []string) (string, error) {
	argument := ""
	if len(a) > 1 {
		argument = a[1]
	}
	var change func(*storer.Faults)
	switch a[0] {
	case "down":
		change = func(f *storer.Faults) { f.Down = true }
	case "up":
		change = func(f *storer.Faults) { *f = storer.Faults{} }
	case "slow":
		d, err := parseDuration(argument)
		if err != nil {
			return "", err
		}
		change = func(f *storer.Faults) { f.Latency = d }
	case "lose-answers":
		n := 0
		if _, err := fmt.Sscan(argument, &n); err != nil {
			return "", errors.Wrap(err, "number of responses")
		}
		change = func(f *storer.Faults) { f.LoseResponses = n }
	case "lapse":
		p.fleet.Store.ExpireLeases()
		return "", nil
	default:
		return "", errors.Errorf("unknown store fault %q", a[0])
	}
	p.fleet.Store.SetFaults(change)
	return "", nil
}
