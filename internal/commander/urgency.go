package commander

import "context"

type (
	// Urgency is what a control statement may do to get a connection.
	Urgency int

	urgencyKey struct{}
)

const (
	// Routine statements take no connection from the places that traffic is
	// likely to need.
	Routine Urgency = iota
	// Wanted ones, for which a caller waits, may take an idle connection.
	Wanted
	// Order is for statements that replace a primary: they go before traffic.
	Order
)

// WithWanted marks a status question as one that a caller waits for.
func WithWanted(ctx context.Context) context.Context {
	return context.WithValue(ctx, urgencyKey{}, Wanted)
}

// WithOrder marks a status question as part of a change of primary.
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
