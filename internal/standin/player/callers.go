package player

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jackc/pgx/v5"
	"github.com/oriolegw/oriolegw/internal/standin/stager"
)

const recoveryPollInterval = 10 * time.Millisecond

var callerCommands = []Command{
	{
		Name: "stage", Usage: "[per-zone=N] [seed=N] [latency=D] [jitter=D] [work=D]",
		Description: "Starts a fleet in the availability zones a, b and c: the platform, the targets lockers-1 (primary) to lockers-3, and instances named entry-a-1 and so on.",
		Run:         runStage,
	},
	{
		Name: "connect", Usage: "CALLER INSTANCE [token=CALLER|TEXT] [kind=KIND]", MinArgs: 2,
		Description: "Opens a session; token is that of another caller or a literal. Prints the outcome.",
		Run:         runConnect,
	},
	{
		Name: "leave", Usage: "CALLER", MinArgs: 1, Description: "Closes a session.",
		Run: func(p *Player, a []string) (string, error) {
			c, err := p.findCaller(a[0])
			if err != nil {
				return "", err
			}
			err = c.conn.Close(p.ctx)
			c.conn = nil
			return "", err
		},
	},
	{
		Name: "do", Usage: "CALLER SQL", MinArgs: 2,
		Description: "Runs a statement and prints its rows, or its outcome: done, not-run CODE, unknown CODE, failed CODE.",
		Run: func(p *Player, a []string) (string, error) {
			c, err := p.findCaller(a[0])
			if err != nil {
				return "", err
			}
			return p.query(c, strings.Join(a[1:], " ")), nil
		},
	},
	{
		Name: "start", Usage: "CALLER SQL", MinArgs: 2, Description: "Runs a statement in the background; end waits for it.",
		Run: runStart,
	},
	{
		Name: "end", Usage: "CALLER", MinArgs: 1, Description: "Waits for the caller's background statement and prints as do does.",
		Run: func(p *Player, a []string) (string, error) {
			c, err := p.findCaller(a[0])
			if err != nil {
				return "", err
			}
			if c.background == nil {
				return "", errors.New("no background statement is running")
			}
			r := <-c.background
			c.background = nil
			return r, nil
		},
	},
	{
		Name: "cancel", Usage: "CALLER INSTANCE", MinArgs: 2, Description: "Sends the caller's cancel request to an instance.",
		Run: runCancel,
	},
	{
		Name: "sleep", Usage: "D", MinArgs: 1, Description: "Advances virtual time.",
		Run: func(_ *Player, a []string) (string, error) {
			d, err := parseDuration(a[0])
			if err == nil {
				time.Sleep(d)
			}
			return "", err
		},
	},
	{
		Name: "committed", Usage: "KEY", MinArgs: 1,
		Description: "Prints how many times targets committed the key, by their journals, and the primary's value.",
		Run:         runCommitted,
	},
	{
		Name: "recovered", Usage: "CALLER D", MinArgs: 2,
		Description: "Retries writes until one succeeds, for at most D of virtual time, and prints the time taken.",
		Run:         runRecovered,
	},
}

func runStage(p *Player, a []string) (string, error) {
	_, options := splitOptions(a)
	plan := stager.Plan{Log: p.Log, ZoneLatency: time.Millisecond, ClientLatency: 3 * time.Millisecond}
	for k, v := range options {
		n, _ := strconv.Atoi(v)
		d, _ := time.ParseDuration(v)
		switch k {
		case "per-zone":
			plan.InstancesPerZone = n
		case "seed":
			plan.Seed = uint64(n)
		case "latency":
			plan.ZoneLatency = d
		case "jitter":
			plan.Jitter = d
		case "work":
			plan.ExecutionTime = d
		default:
			return "", errors.Errorf("unknown option %q", k)
		}
	}
	f, err := stager.Start(p.ctx, plan)
	if err != nil {
		return "", err
	}
	p.fleet = f
	return "", f.AwaitReady(p.ctx)
}

func runConnect(p *Player, a []string) (string, error) {
	words, options := splitOptions(a)
	if len(words) < 2 {
		return "", errors.New("usage: connect CALLER INSTANCE")
	}
	e, err := p.findInstance(words[1])
	if err != nil {
		return "", err
	}
	parameters := map[string]string{}
	if t := options["token"]; t != "" {
		if o := p.callers[t]; o != nil {
			t = o.token
		}
		parameters["oriole.token"] = t
	}
	if k := options["kind"]; k != "" {
		parameters["oriole.kind"] = k
	}
	conn, err := p.fleet.Connect(p.ctx, e, stager.DefaultService, parameters)
	if err != nil {
		return formatOutcome(err) + "\n", nil
	}
	p.callers[words[0]] = &caller{service: stager.DefaultService, instance: e, conn: conn, token: conn.PgConn().ParameterStatus("oriole.token")}
	return "done\n", nil
}

// query runs a statement and returns its rows and outcome. Double quotes in sql become
// single quotes, which testscript reserves for itself.
func (p *Player) query(c *caller, sql string) string {
	sql = strings.ReplaceAll(sql, `"`, "'")
	rows, err := c.conn.Query(p.ctx, sql, pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return formatOutcome(err) + "\n"
	}
	var b strings.Builder
	for rows.Next() {
		var line []string
		for _, v := range rows.RawValues() {
			line = append(line, string(v))
		}
		b.WriteString(strings.Join(line, " ") + "\n")
	}
	rows.Close()
	if t := c.conn.PgConn().ParameterStatus("oriole.token"); t != "" {
		c.token = t
	}
	b.WriteString(formatOutcome(rows.Err()) + "\n")
	return b.String()
}

func runStart(p *Player, a []string) (string, error) {
	c, err := p.findCaller(a[0])
	if err != nil {
		return "", err
	}
	if c.background != nil {
		return "", errors.New("a background statement is already running")
	}
	c.background = make(chan string, 1)
	go func() { c.background <- p.query(c, strings.Join(a[1:], " ")) }()
	return "", nil
}

func runCancel(p *Player, a []string) (string, error) {
	c, err := p.findCaller(a[0])
	if err != nil {
		return "", err
	}
	e, err := p.findInstance(a[1])
	if err != nil {
		return "", err
	}
	return "", p.fleet.Cancel(p.ctx, e, c.conn.PgConn())
}

func runCommitted(p *Player, a []string) (string, error) {
	n := 0
	for _, t := range p.fleet.Members {
		for _, r := range t.Journal() {
			for _, o := range r.Ops {
				if o.Key == a[0] {
					n++
				}
			}
		}
	}
	shown := "no primary"
	if t := p.fleet.Primary(stager.DefaultService); t != nil {
		v, ok := t.Value("ledger", a[0])
		shown = "absent"
		if ok {
			shown = "value " + v
		}
	}
	return fmt.Sprintf("committed %d, %s\n", n, shown), nil
}

func runRecovered(p *Player, a []string) (string, error) {
	limit, err := parseDuration(a[1])
	if err != nil {
		return "", err
	}
	started := time.Now()
	for n := 0; time.Since(started) < limit; n++ {
		c, err := p.findCaller(a[0])
		if err != nil {
			return "", err
		}
		if c.conn.IsClosed() {
			if c.conn, err = p.fleet.Connect(p.ctx, c.instance, c.service, nil); err != nil {
				return "", err
			}
		}
		sql := fmt.Sprintf("INSERT INTO ledger (key, value) VALUES ('recovered-%d-%d', '1')", started.UnixNano(), n)
		if p.query(c, sql) == "done\n" {
			return fmt.Sprintf("after %v\n", time.Since(started).Round(time.Millisecond)), nil
		}
		time.Sleep(recoveryPollInterval)
	}
	return "", errors.Errorf("no write succeeded within %v", limit)
}
