package replicator

import (
	"time"
)

// stage holds a change until the transaction commits.
func (s *session) stage(o Op) { s.stagedOps = append(s.stagedOps, o) }

func (s *session) stageExisting(o Op, verb string) result {
	if _, ok := s.lookup(o.Table, o.Key); !ok {
		return result{Tag: verb + " 0"}
	}
	s.stage(o)
	return result{Tag: verb + " 1"}
}

// tableView returns the rows of a table, including the uncommitted changes of the session.
func (s *session) tableView(table string) map[string]string {
	s.member.mutex.Lock()
	defer s.member.mutex.Unlock()
	v := tables{table: {}}
	for k, x := range s.member.wal.visible[table] {
		v[table][k] = x
	}
	v.apply(s.stagedOps)
	return v[table]
}

func (s *session) lookup(table, key string) (string, bool) {
	if len(s.stagedOps) == 0 {
		return s.member.Value(table, key)
	}
	v, ok := s.tableView(table)[key]
	return v, ok
}

// endImplicit commits an implicit transaction.
func (s *session) endImplicit() {
	if s.inTransaction || s.skipUntilSync {
		return
	}
	if r := s.commit(); r != nil {
		s.sendError(r)
	}
}

// commit appends the staged changes to the log, atomically with the check that this member is still
// the primary of the term of the session.
func (s *session) commit() *sqlError {
	m := s.member
	m.mutex.Lock()
	defer m.mutex.Unlock()
	stagedOps := s.stagedOps
	s.stagedOps, s.inTransaction, s.failed = nil, false, false
	if len(stagedOps) == 0 {
		return nil
	}
	if m.role != RolePrimary || (s.term != 0 && m.term != s.term) {
		return &sqlError{Code: CodeFenced, Message: "fenced before commit: the transaction was rolled back", Fatal: true}
	}
	s.commitPosition = m.wal.append(m.term, stagedOps)
	m.wal.replay(len(m.wal.entries))
	m.journal = append(m.journal, Record{At: time.Now(), Application: s.application, Ops: stagedOps, Position: s.commitPosition})
	m.notify()
	return nil
}

func (s *session) rollback() { s.stagedOps, s.inTransaction, s.failed = nil, false, false }
