package replicator

import (
	"time"
)

// stage keeps a change until the transaction commits.
func (s *session) stage(o Op) { s.ops = append(s.ops, o) }

func (s *session) change(o Op, verb string) result {
	if _, ok := s.get(o.Table, o.Key); !ok {
		return result{Tag: verb + " 0"}
	}
	s.stage(o)
	return result{Tag: verb + " 1"}
}

// view is a table as the session sees it, its own changes included.
func (s *session) view(table string) map[string]string {
	s.member.mutex.Lock()
	defer s.member.mutex.Unlock()
	v := rows{table: {}}
	for k, x := range s.member.ledger.visible[table] {
		v[table][k] = x
	}
	v.apply(s.ops)
	return v[table]
}

func (s *session) get(table, key string) (string, bool) {
	if len(s.ops) == 0 {
		return s.member.Value(table, key)
	}
	v, ok := s.view(table)[key]
	return v, ok
}

// endImplicit commits what ran outside a transaction block.
func (s *session) endImplicit() {
	if s.open || s.skip {
		return
	}
	if r := s.commit(); r != nil {
		s.fail(r)
	}
}

// commit appends the staged changes to the log in one step with the check that
// this member is still the primary of the session's term.
func (s *session) commit() *refusal {
	m := s.member
	m.mutex.Lock()
	defer m.mutex.Unlock()
	ops := s.ops
	s.ops, s.open, s.failed = nil, false, false
	if len(ops) == 0 {
		return nil
	}
	if m.role != RolePrimary || (s.term != 0 && m.term != s.term) {
		return &refusal{Code: CodeFenced, Message: "fenced before commit: the transaction was rolled back", Fatal: true}
	}
	s.committed = m.ledger.append(m.term, ops)
	m.ledger.replay(len(m.ledger.entries))
	m.journal = append(m.journal, Record{At: time.Now(), Application: s.application, Ops: ops, Position: s.committed})
	m.notify()
	return nil
}

func (s *session) rollback() { s.ops, s.open, s.failed = nil, false, false }
