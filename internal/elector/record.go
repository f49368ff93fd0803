package elector

import (
	"encoding/json"

	"github.com/go-faster/errors"
	"github.com/oriolegw/oriolegw/internal/storer"
)

// This file encodes and decodes what the store holds of a group: the ownership record, which is
// deleted when the owner's lease ends, and the state, which is not. A promotion order may be
// executed after the lease of the owner that sent it has ended, and the log of a member may hold
// the only copy of a commit for as long as the member exists.

type (
	// ownershipRecord is the stored form of a group's ownership.
	ownershipRecord struct {
		Owner string `json:"holder"`
		// Lease is the lease that the record is bound to.
		Lease int64 `json:"lease"`
	}

	// stateRecord is the stored form of a group's State.
	stateRecord struct {
		Members map[string]string `json:"members"`
		// StartTimes is absent in the states of earlier versions.
		StartTimes map[string]int64 `json:"born,omitempty"`
		// PromotionPending is nil in a value that is not the state of a group.
		PromotionPending *bool  `json:"order-open"`
		Ordered          string `json:"ordered,omitempty"`
		OrderedStartTime int64  `json:"ordered-born,omitempty"`
		Leader           string `json:"leader"`
		LeaderStartTime  int64  `json:"leader-born"`
		Term             uint64 `json:"term"`
		// LeasesSuspended and Candidates are absent in the states of earlier versions.
		LeasesSuspended bool     `json:"leases-suspended,omitempty"`
		Candidates      []string `json:"candidates,omitempty"`
	}
)

var (
	// errNoOwner rejects an ownership record without an owner.
	errNoOwner = errors.New("record names no owner")
	// errNoState rejects a value that is not the state of a group.
	errNoState = errors.New("value is not the state of a group")
)

// encodeOwnership encodes an ownership record with this instance as the owner, under a lease.
func (e *Elector) encodeOwnership(lease storer.Lease) []byte {
	return mustMarshal(ownershipRecord{Owner: e.Name, Lease: int64(lease)})
}

func encodeState(s State) []byte {
	return mustMarshal(stateRecord{
		Members: s.Members, StartTimes: s.StartTimes, PromotionPending: &s.PromotionPending, Ordered: s.Ordered, OrderedStartTime: s.OrderedStartTime,
		Leader: s.Leader.ID, LeaderStartTime: s.Leader.StartTime, Term: s.Leader.Term,
		LeasesSuspended: s.LeasesSuspended, Candidates: s.Candidates,
	})
}

func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("elector: record: " + err.Error())
	}
	return text
}

// parseOwnership decodes a stored ownership record.
func parseOwnership(value []byte) (ownershipRecord, error) {
	var r ownershipRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return ownershipRecord{}, err
	}
	if r.Owner == "" {
		return ownershipRecord{}, errNoOwner
	}
	return r, nil
}

// ownershipOrEmpty decodes an ownership record that is known to be valid, or returns an empty one.
func ownershipOrEmpty(value []byte) ownershipRecord {
	r, err := parseOwnership(value)
	if err != nil {
		return ownershipRecord{}
	}
	return r
}

// parseState decodes a stored state.
func parseState(value []byte) (State, error) {
	var r stateRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return State{}, err
	}
	if r.PromotionPending == nil {
		return State{}, errNoState
	}
	return State{
		Members: r.Members, StartTimes: r.StartTimes, PromotionPending: *r.PromotionPending, Ordered: r.Ordered, OrderedStartTime: r.OrderedStartTime,
		Leader:          Leadership{ID: r.Leader, StartTime: r.LeaderStartTime, Term: r.Term},
		LeasesSuspended: r.LeasesSuspended, Candidates: r.Candidates,
	}, nil
}

// stateOrEmpty decodes a state that is known to be valid, or returns an empty one.
func stateOrEmpty(value []byte) State {
	s, err := parseState(value)
	if err != nil {
		return State{}
	}
	return s
}
