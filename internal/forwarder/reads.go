package forwarder

import (
	"slices"
	"time"

	"github.com/oriolegw/oriolegw/internal/concentrator"
	"github.com/oriolegw/oriolegw/internal/tracker"
)

const (
	// loanTimeWeight is the weight of a sample in the mean times of loans.
	loanTimeWeight = 0.1
	// readLogInterval is the minimum time between two log lines on reads that went elsewhere.
	readLogInterval = time.Second
	// maxReadUses bounds the remembered uses; all are forgotten beyond it.
	maxReadUses = 4096
)

// reads is what this instance knows about the connections of customers at other instances. The
// Forwarder's mutex guards it.
type reads struct {
	// usedAt is when a connection of a customer to a member was last borrowed.
	usedAt map[readUse]tracker.Timestamp
	// kept and opened are the mean times of loans by member.
	kept, opened map[string]time.Duration
	// loggedAt is when a read that went elsewhere was last logged.
	loggedAt tracker.Timestamp
}

// readUse identifies a customer's connections to a member.
type readUse struct{ customer, member string }

// preferKept moves the member that concentrator.ChooseRead chooses to the front of the eligible
// members of a customer's request. It applies to statements that several members may serve.
func (fw *Forwarder) preferKept(customer string, members []string) []string {
	if customer == "" || len(members) < 2 {
		return members
	}
	now := fw.Clock()
	fw.mutex.Lock()
	places := make([]concentrator.ReadPlace, len(members))
	for i, m := range members {
		places[i] = concentrator.ReadPlace{SinceUse: -1, KeptLoan: fw.reads.kept[m], OpenedLoan: fw.reads.opened[m]}
		if at, ok := fw.reads.usedAt[readUse{customer, m}]; ok {
			places[i].SinceUse = now - at
		}
	}
	fw.mutex.Unlock()
	i := concentrator.ChooseRead(places)
	if i == 0 {
		return members
	}
	fw.readsMoved.Add(1)
	fw.mutex.Lock()
	due := fw.reads.loggedAt == 0 || now-fw.reads.loggedAt >= readLogInterval
	if due {
		fw.reads.loggedAt = now
	}
	fw.mutex.Unlock()
	if due {
		fw.Log("event", "read-to-kept", "customer", customer, "member", members[i], "first", members[0], "used-ms", places[i].SinceUse.Milliseconds(),
			"kept-us", places[i].KeptLoan.Microseconds(), "first-opened-us", places[0].OpenedLoan.Microseconds())
	}
	list := slices.Clone(members)
	return append([]string{list[i]}, slices.Delete(list, i, i+1)...)
}

// recordLoan records how long a loan of a customer's connection to a member took.
func (fw *Forwarder) recordLoan(customer, member string, took time.Duration) {
	if customer == "" {
		return
	}
	now := fw.Clock()
	fw.mutex.Lock()
	defer fw.mutex.Unlock()
	r := &fw.reads
	if r.usedAt == nil || len(r.usedAt) >= maxReadUses {
		r.usedAt = map[readUse]tracker.Timestamp{}
	}
	if r.kept == nil || len(r.kept) >= maxReadUses || len(r.opened) >= maxReadUses {
		r.kept, r.opened = map[string]time.Duration{}, map[string]time.Duration{}
	}
	use := readUse{customer, member}
	means := r.opened
	if at, ok := r.usedAt[use]; ok && concentrator.ExpectsKept(now-at) {
		means = r.kept
	}
	r.usedAt[use] = now
	if means[member] == 0 {
		means[member] = took
	}
	means[member] += time.Duration(loanTimeWeight * float64(took-means[member]))
}

// ReadsMoved returns how many reads went to a member with a kept connection of their customer instead
// of the first eligible one.
func (fw *Forwarder) ReadsMoved() int { return int(fw.readsMoved.Load()) }
