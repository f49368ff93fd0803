package commander

import "context"

type (
	// Urgency is the priority of a control statement when it waits for a connection.
	Urgency int

	urgencyKey struct{}
)

const (
	// Routine statements do not take connections that client requests are likely to need.
	Routine Urgency = iota
	// Wanted statements, for which a client waits, may take an idle connection.
	Wanted
	// Order statements change the primary and take precedence over client requests.
	Order
)

// WithWanted marks status requests as ones that a client waits for.
func WithWanted(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgencyKey{}, Wanted)
}

// WithOrder marks status requests as part of a failover or switchover.
func WithOrder(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgencyKey{}, Order)
}

func urgency(ctx context.Context, sql string) Urgency {
	if sql != statusQuery {
		return Order
	}
	u, _ := ctx.Value(urgencyKey{}).(Urgency)
	return u
}
