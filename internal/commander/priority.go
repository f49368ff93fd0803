package commander

import "context"

type (
	// Priority is the priority of a control statement when it waits for a connection.
	Priority int

	priorityKey struct{}
)

const (
	// Routine statements do not take connections that client requests are likely to need.
	Routine Priority = iota
	// ClientWaiting statements, for which a client waits, may take an idle connection.
	ClientWaiting
	// Failover statements change the primary and take precedence over client requests.
	Failover
)

// WithClientWaiting marks status requests as ones that a client waits for.
func WithClientWaiting(ctx context.Context) context.Context {
	return context.WithValue(ctx, priorityKey{}, ClientWaiting)
}

// WithFailover marks status requests as part of a failover or switchover.
func WithFailover(ctx context.Context) context.Context {
	return context.WithValue(ctx, priorityKey{}, Failover)
}

func priority(ctx context.Context, sql string) Priority {
	if sql != statusQuery {
		return Failover
	}
	u, _ := ctx.Value(priorityKey{}).(Priority)
	return u
}
