package replicator

import (
	"context"
	"time"
)

// run executes one statement in a slot and records it.
func (s *session) run(ctx context.Context, sql string, sh *shape, args, params []string) result {
	if sh == nil {
		return result{Err: &refusal{Code: "42601", Message: "statement shape not known to the stand-in: " + sql}}
	}
	if s.failed && sh.Name != "commit" && sh.Name != "rollback" {
		return result{Err: &refusal{Code: codeAborted, Message: "current transaction is aborted"}}
	}
	if r := s.refuse(sh); r != nil {
		s.member.record(Record{Application: s.application, Statement: sql, Code: r.Code})
		return result{Err: r}
	}
	s.worked = !controls[sh.Name]
	ctx, stop := context.WithCancel(ctx)
	s.running.Store(&stop)
	defer func() { s.running.Store(nil); stop() }()
	if !controls[sh.Name] {
		s.member.occupy(ctx)
	}
	if err := s.member.Faults.pass(ctx); err != nil {
		return result{Err: &refusal{Code: "57014", Message: "canceling statement due to user request"}}
	}
	r := sh.Run(ctx, s, bind(args, params))
	if !controls[sh.Name] {
		rec := Record{Application: s.application, Statement: sql}
		if r.Err != nil {
			rec.Code = r.Err.Code
		}
		s.member.record(rec)
	}
	return r
}

// controls are the shapes that need no slot and are not recorded.
var controls = map[string]bool{
	"status": true, "await": true, "replayed": true, "activity": true,
	"fence": true, "drain": true, "promote": true, "follow": true,
}

func (m *Member) record(r Record) {
	r.At = time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.journal = append(m.journal, r)
}

// occupy waits for a slot and holds it for the time that a statement takes.
func (m *Member) occupy(ctx context.Context) {
	if m.slots != nil {
		select {
		case m.slots <- struct{}{}:
			defer func() { <-m.slots }()
		case <-ctx.Done():
			return
		}
	}
	sleep(ctx, m.Work+m.Faults.read(func() time.Duration { return m.Faults.slow }))
}

// refuse decides, before anything runs, whether the member may run a statement.
func (s *session) refuse(sh *shape) *refusal {
	if controls[sh.Name] {
		return nil
	}
	m := s.member
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s.term != 0 && m.draining && !m.active[s] {
		return &refusal{Code: CodeFenced, Message: "draining: the primary is about to be replaced", Fatal: true}
	}
	if s.term != 0 && (m.role != RolePrimary || m.term != s.term) {
		return &refusal{Code: CodeFenced, Message: "fenced: the connection belongs to an older term", Fatal: true}
	}
	if sh.Write && m.role != RolePrimary {
		return &refusal{Code: CodeReadOnly, Message: "cannot execute a write in a read-only transaction"}
	}
	m.active[s] = true
	return nil
}

// idle notes that nothing of a session is under way; the mutex is held.
func (m *Member) idle(s *session) {
	if m.active[s] {
		delete(m.active, s)
		if m.draining {
			m.notify()
		}
	}
}
