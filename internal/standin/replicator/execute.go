package replicator

import (
	"context"
	"time"
)

// runStatement executes a statement in a slot and records it.
func (s *session) runStatement(ctx context.Context, sql string, kind *statementKind, args, params []string) result {
	if kind == nil {
		return result{Err: &sqlError{Code: "42601", Message: "statement not supported by the stand-in: " + sql}}
	}
	if s.failed && kind.Name != "commit" && kind.Name != "rollback" {
		return result{Err: &sqlError{Code: codeAborted, Message: "current transaction is aborted"}}
	}
	if r := s.checkRole(kind); r != nil {
		s.member.record(Record{Application: s.application, Statement: sql, Code: r.Code})
		return result{Err: r}
	}
	s.ranStatement = !controlStatements[kind.Name]
	ctx, stop := context.WithCancel(ctx)
	s.cancelRunning.Store(&stop)
	defer func() { s.cancelRunning.Store(nil); stop() }()
	if !controlStatements[kind.Name] {
		s.member.holdSlot(ctx)
	}
	if err := s.member.Faults.waitWhileFrozen(ctx); err != nil {
		return result{Err: &sqlError{Code: "57014", Message: "canceling statement due to user request"}}
	}
	r := kind.Run(ctx, s, bindArguments(args, params))
	if !controlStatements[kind.Name] {
		rec := Record{Application: s.application, Statement: sql}
		if r.Err != nil {
			rec.Code = r.Err.Code
		}
		s.member.record(rec)
	}
	return r
}

// controlStatements names the statements that need no slot and are not recorded.
var controlStatements = map[string]bool{
	"status": true, "await": true, "replayed": true, "activity": true,
	"fence": true, "drain": true, "promote": true, "follow": true,
}

func (m *Member) record(r Record) {
	r.At = time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.journal = append(m.journal, r)
}

// holdSlot waits for a slot and occupies it for the duration of a statement.
func (m *Member) holdSlot(ctx context.Context) {
	if m.slots != nil {
		select {
		case m.slots <- struct{}{}:
			defer func() { <-m.slots }()
		case <-ctx.Done():
			return
		}
	}
	sleep(ctx, m.ExecutionTime+m.Faults.readDuration(func() time.Duration { return m.Faults.statementDelay }))
}

// checkRole returns an error if the term, the role or a drain forbids the statement, and otherwise
// marks the session as active.
func (s *session) checkRole(kind *statementKind) *sqlError {
	if controlStatements[kind.Name] {
		return nil
	}
	m := s.member
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if s.term != 0 && m.draining && !m.activeSessions[s] {
		return &sqlError{Code: CodeFenced, Message: "draining: the primary is about to be replaced", Fatal: true}
	}
	if s.term != 0 && (m.role != RolePrimary || m.term != s.term) {
		return &sqlError{Code: CodeFenced, Message: "fenced: the connection belongs to an older term", Fatal: true}
	}
	if kind.Write && m.role != RolePrimary {
		return &sqlError{Code: CodeReadOnly, Message: "cannot execute a write in a read-only transaction"}
	}
	m.activeSessions[s] = true
	return nil
}

// markIdle marks a session as having no transaction or statement in progress. The caller must hold
// the mutex.
func (m *Member) markIdle(s *session) {
	if m.activeSessions[s] {
		delete(m.activeSessions, s)
		if m.draining {
			m.notify()
		}
	}
}
