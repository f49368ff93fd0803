package accountant

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// PathCustomers is the HTTP path of the page that lists an instance's customers.
const PathCustomers = "/customers"

type (
	// CustomerState is one instance's view of a customer.
	CustomerState struct {
		Customer string
		// PerSecond and Burst are the customer's limit, 0 without one.
		PerSecond, Burst float64
		// Keys is the number of the customer's API keys.
		Keys int
		// IsAccountant is set if this instance is the accountant. Then Used is the number of
		// operations in the limiter's window, Available can be leased now, Leased is outstanding,
		// and Demand is the requested operations per second on all instances.
		IsAccountant                    bool
		Used, Available, Leased, Demand float64
		// Connections is the number of this instance's connections for the customer.
		Connections int
		// Refused is the number of operations that this instance has refused as over the limit.
		Refused int64
	}

	// jsonState is the JSON form of CustomerState.
	jsonState struct {
		Customer     string  `json:"customer"`
		PerSecond    float64 `json:"per-second"`
		Burst        float64 `json:"burst"`
		Keys         int     `json:"keys"`
		IsAccountant bool    `json:"kept"`
		Used         float64 `json:"used"`
		Available    float64 `json:"available"`
		Leased       float64 `json:"leased"`
		Demand       float64 `json:"demand-per-second"`
		Connections  int     `json:"connections"`
		Refused      int64   `json:"refused"`
	}
)

// EncodeStates encodes the page.
func EncodeStates(list []CustomerState) []byte {
	rows := make([]jsonState, len(list))
	for i, s := range list {
		rows[i] = jsonState(s)
	}
	text, err := json.Marshal(rows)
	if err != nil {
		panic("accountant: encode customers page: " + err.Error())
	}
	return text
}

// DecodeStates decodes the page.
func DecodeStates(text []byte) ([]CustomerState, error) {
	var rows []jsonState
	if err := json.Unmarshal(text, &rows); err != nil {
		return nil, errors.Wrap(err, "customers")
	}
	list := make([]CustomerState, len(rows))
	for i, w := range rows {
		list[i] = CustomerState(w)
	}
	return list, nil
}

// MergeStates merges the lists of several instances: counts are added, and the account's fields
// are taken from the accountant.
func MergeStates(lists ...[]CustomerState) []CustomerState {
	byName := map[string]CustomerState{}
	for _, list := range lists {
		for _, s := range list {
			m, ok := byName[s.Customer]
			if !ok {
				byName[s.Customer] = s
				continue
			}
			if s.IsAccountant && (!m.IsAccountant || s.Demand > m.Demand) {
				m.IsAccountant, m.Used, m.Available, m.Leased, m.Demand = true, s.Used, s.Available, s.Leased, s.Demand
				m.PerSecond, m.Burst, m.Keys = s.PerSecond, s.Burst, s.Keys
			}
			m.Connections += s.Connections
			m.Refused += s.Refused
			byName[s.Customer] = m
		}
	}
	merged := make([]CustomerState, 0, len(byName))
	for _, s := range byName {
		merged = append(merged, s)
	}
	slices.SortFunc(merged, func(a, b CustomerState) int { return strings.Compare(a.Customer, b.Customer) })
	return merged
}
