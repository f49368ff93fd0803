package runner

import (
	"testing"

	"github.com/oriolegw/oriolegw/internal/commander"
	"github.com/oriolegw/oriolegw/internal/configurer"
	"github.com/oriolegw/oriolegw/internal/pooler"
	"github.com/oriolegw/oriolegw/internal/router"
	"github.com/shoenig/test/must"
)

func TestPreferredTargets(t *testing.T) {
	g := &router.Group{
		Service: &configurer.Service{Members: []configurer.Member{{Address: "a", Zone: "a"}, {Address: "b", Zone: "b"}, {Address: "c", Zone: "c"}}},
		Members: make([]router.Member, 3), Primary: 1,
	}
	g.Members[1].Status = commander.Status{Role: commander.RolePrimary, Term: 7}
	t.Run("primary, own replica, others", func(t *testing.T) {
		must.Eq(t, []pooler.Endpoint{{Address: "b", Term: 7}, {Address: "c"}, {Address: "a"}}, preferredTargets(g, "c", 0))
	})
	// The third member may be the primary; a share of two must leave a connection to query it.
	t.Run("no primary known", func(t *testing.T) {
		g.Primary = -1
		must.Eq(t, []pooler.Endpoint{{Address: "c"}}, preferredTargets(g, "c", 0))
	})
}
