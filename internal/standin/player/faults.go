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
		Name: "crash", Usage: "TARGET|INSTANCE|primary", Min: 1, Text: "Ends a process as a crash does.",
		Run: func(p *Player, a []string) (string, error) {
			if e, err := p.entry(a[0]); err == nil {
				p.fleet.KillInstance(e)
				return "", nil
			}
			t, err := p.target(a[0])
			if err == nil {
				p.fleet.KillTarget(t)
				return t.Name + "\n", nil
			}
			return "", err
		},
	},
	{
		Name: "restart", Usage: "TARGET|INSTANCE", Min: 1,
		Text: "Starts a killed process again: a target with its log, an instance with nothing.",
		Run: func(p *Player, a []string) (string, error) {
			if e, err := p.entry(a[0]); err == nil {
				p.fleet.StartInstance(e)
				return "", nil
			}
			t, err := p.target(a[0])
			if err == nil {
				p.fleet.RestartTarget(t)
			}
			return "", err
		},
	},
	{
		Name: "cut", Usage: "A B", Min: 2, Text: "Stalls all traffic between two places: zones, platform, targets or instances.",
		Run: func(p *Player, a []string) (string, error) {
			p.fleet.Network.Cut(p.place(a[0]), p.place(a[1]))
			return "", nil
		},
	},
	{
		Name: "heal", Usage: "[A B]", Text: "Ends one cut, or all; what was stalled is delivered.",
		Run: func(p *Player, a []string) (string, error) {
			if len(a) < 2 {
				p.fleet.Network.HealAll()
				return "", nil
			}
			p.fleet.Network.Heal(p.place(a[0]), p.place(a[1]))
			return "", nil
		},
	},
	targetFault("freeze", "", "Stops a target; its connections stay open.", func(t *stager.Target, _ string) error {
		t.Faults.Freeze()
		return nil
	}),
	targetFault("thaw", "", "Lets a frozen target go on.", func(t *stager.Target, _ string) error {
		t.Faults.Unfreeze()
		return nil
	}),
	targetFault("silence", "", "Makes the target's open connections go silent for good.", func(t *stager.Target, _ string) error {
		t.BlackholeConnections()
		return nil
	}),
	targetFault("lose-answer", "", "Loses the answer to the target's next write, after its effect.", func(t *stager.Target, _ string) error {
		t.Faults.DropNextResponse()
		return nil
	}),
	targetFault("lag", "D", "Delays when a replica shows what it has received.", delay((*replicator.Faults).SetReplayLag)),
	targetFault("stream-lag", "D", "Delays what a replica receives.", delay((*replicator.Faults).SetStreamLag)),
	targetFault("slow", "D", "Adds to the time of each statement.", delay((*replicator.Faults).SetStatementDelay)),
	{
		Name: "store", Usage: "down|up|slow D|lose-answers N|lapse", Min: 1, Text: "Throws the faults of the platform's store.",
		Run: runStore,
	},
	{
		Name: "primary", Text: "Prints the primary of the newest term, and that term.",
		Run: func(p *Player, _ []string) (string, error) {
			t := p.fleet.Primary(stager.DefaultService)
			if t == nil {
				return "none\n", nil
			}
			return fmt.Sprintf("%s term %d\n", t.Name, t.Status().Term), nil
		},
	},
}

func targetFault(name, usage, text string, throw func(t *stager.Target, argument string) error) Command {
	return Command{
		Name: name, Usage: strings.TrimSpace("TARGET|primary " + usage), Text: text, Min: 1 + len(strings.Fields(usage)),
		Run: func(p *Player, a []string) (string, error) {
			t, err := p.target(a[0])
			if err != nil {
				return "", err
			}
			return "", throw(t, strings.Join(a[1:], " "))
		},
	}
}

func delay(set func(*replicator.Faults, time.Duration)) func(*stager.Target, string) error {
	return func(t *stager.Target, s string) error {
		d, err := duration(s)
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
		d, err := duration(argument)
		if err != nil {
			return "", err
		}
		change = func(f *storer.Faults) { f.Latency = d }
	case "lose-answers":
		n := 0
		if _, err := fmt.Sscan(argument, &n); err != nil {
			return "", errors.Wrap(err, "number of answers")
		}
		change = func(f *storer.Faults) { f.LoseResponses = n }
	case "lapse":
		p.fleet.Store.ExpireLeases()
		return "", nil
	default:
		return "", errors.Errorf("no store fault %q", a[0])
	}
	p.fleet.Store.SetFaults(change)
	return "", nil
}
