package accountant_test

import (
	"fmt"
	"testing"

	"github.com/oriolegw/oriolegw/internal/accountant"
	"github.com/shoenig/test/must"
)

func ExampleMergeStates() {
	accountantStates := []accountant.CustomerState{{Customer: "north", PerSecond: 10, IsAccountant: true, Used: 30, Demand: 6, Connections: 2}}
	peerStates := []accountant.CustomerState{{Customer: "north", PerSecond: 10, Connections: 3, Refused: 1}, {Customer: "south"}}
	for _, s := range accountant.MergeStates(peerStates, accountantStates) {
		fmt.Println(s.Customer, s.Used, s.Connections, s.Refused)
	}
	// Output:
	// north 30 5 1
	// south 0 0 0
}

func TestStatesRoundTrip(t *testing.T) {
	want := []accountant.CustomerState{{Customer: "north", PerSecond: 10, Burst: 20, Keys: 2, IsAccountant: true, Used: 1, Available: 2, Leased: 3, Demand: 4, Connections: 5, Refused: 6}}
	got, err := accountant.DecodeStates(accountant.EncodeStates(want))
	must.NoError(t, err)
	must.Eq(t, want, got)
	_, err = accountant.DecodeStates([]byte("not JSON"))
	must.Error(t, err)
}
