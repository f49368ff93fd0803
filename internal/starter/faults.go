package starter

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Fault is a fault that can be injected into a running process, either by a
	// request to its /faults page or by a signal.
	Fault struct {
		AppliesTo ProcessKind
		Name      string
		// Body is the request that injects the fault, Undo the one that reverts it. Undo
		// is empty where nothing needs to be reverted, and a signal name where Signal is set.
		Body, Undo string
		Signal     string
	}

	// ProcessKind is the kind of process that a fault applies to.
	ProcessKind string
)

// The kinds of processes that faults apply to.
const (
	MemberProcesses ProcessKind = "members"
	PlatformProcess ProcessKind = "platform"
	EntryProcesses  ProcessKind = "entries"
	AnyProcess      ProcessKind = "any"

	faultTimeout = 2 * time.Second
)

var (
	// Faults lists the faults that the fleet supports.
	Faults = []Fault{
		{AppliesTo: MemberProcesses, Name: "freeze: the process stops as if paused", Body: `{"freeze": true}`, Undo: `{"freeze": false}`},
		{AppliesTo: MemberProcesses, Name: "refuse: new connections are closed", Body: `{"refuse": true}`, Undo: `{"refuse": false}`},
		{AppliesTo: MemberProcesses, Name: "lag: log entries are applied late", Body: `{"replay-lag-ms": 3000}`, Undo: `{"replay-lag-ms": 0}`},
		{AppliesTo: MemberProcesses, Name: "lag: log entries are received late", Body: `{"stream-lag-ms": 3000}`, Undo: `{"stream-lag-ms": 0}`},
		{AppliesTo: MemberProcesses, Name: "slow: each statement takes longer", Body: `{"slow-ms": 200}`, Undo: `{"slow-ms": 0}`},
		{AppliesTo: MemberProcesses, Name: "lose-answer: the next write takes effect without a response", Body: `{"lose-answer": true}`},
		{AppliesTo: MemberProcesses, Name: "leaving: the target announces its shutdown and gets no new work", Body: `{"leaving": true}`, Undo: `{"leaving": false}`},
		{AppliesTo: MemberProcesses, Name: "silence: open connections stop responding, new ones work", Body: `{"silence": true}`},
		{AppliesTo: PlatformProcess, Name: "down: the store and the list refuse every call", Body: `{"down": true}`, Undo: `{"down": false}`},
		{AppliesTo: PlatformProcess, Name: "slow: each call takes longer", Body: `{"slow-ms": 2000}`, Undo: `{"slow-ms": 0}`},
		{AppliesTo: PlatformProcess, Name: "lose-answers: the next write takes effect without a response", Body: `{"lose-answers": 1}`},
		{AppliesTo: PlatformProcess, Name: "lapse: every lease expires", Body: `{"lapse": true}`},
		{AppliesTo: PlatformProcess, Name: "list-lag: the instance list shows changes late", Body: `{"list-lag-ms": 60000}`, Undo: `{"list-lag-ms": 0}`},
		{AppliesTo: AnyProcess, Name: "crash: kill the process by its pid", Signal: "KILL"},
		{AppliesTo: AnyProcess, Name: "pause: the process is stopped and resumed later", Signal: "STOP", Undo: "CONT"},
		{AppliesTo: EntryProcesses, Name: "graceful shutdown", Signal: "TERM"},
	}

	signals = map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
	}
)

// Recoverable reports whether the process keeps running after Recover.
func (f Fault) Recoverable() bool { return f.Signal == "" || f.Undo != "" }

// Inject injects the fault into a process.
func (f Fault) Inject(ctx context.Context, p *Process) error {
	if f.Signal != "" {
		return p.signal(f.Signal)
	}
	return p.post(ctx, f.Body)
}

// Recover reverts the fault, if that needs a request or a signal.
func (f Fault) Recover(ctx context.Context, p *Process) error {
	switch {
	case f.Undo == "":
		return nil
	case f.Signal != "":
		return p.signal(f.Undo)
	}
	return p.post(ctx, f.Undo)
}

func (p *Process) signal(name string) error {
	if err := p.command.Process.Signal(signals[name]); err != nil {
		return errors.Wrapf(err, "signal %s to %s", name, p.Name)
	}
	return nil
}

func (p *Process) post(ctx context.Context, body string) error {
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.PagesAddress+"/faults", strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrapf(err, "inject fault into %s", p.Name)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return errors.Errorf("inject fault into %s: %s", p.Name, a.Status)
	}
	return nil
}
