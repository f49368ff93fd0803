package main

import "time"

// Setup starts one service with a member in each zone, the platform and three instances in each
// zone. It returns nil if they don't serve.
func (b *Bench) Setup(zones []string, delay func(x, y string) time.Duration) *Group {
	b.Store = NewStore()
	b.Store.Log = b.Log
	b.Cloud = &Cloud{tokens: map[string]int64{}, Groups: map[string]*Group{}, Log: b.Log}
	g := NewGroup("ledger", zones, b.Store, delay, b.Log)
	b.Groups, b.Cloud.Groups["ledger"] = []*Group{g}, g
	b.Config(1)
	store, cloud := listen(), listen()
	go b.Store.Serve(store)
	go b.Cloud.Serve(cloud)
	var edgeZones []string
	for _, z := range zones {
		edgeZones = append(edgeZones, z, z, z)
	}
	b.AddEdges(edgeZones, store.Addr().String(), cloud.Addr().String())
	for _, e := range b.Edges {
		e.Start(true)
	}
	if !b.AwaitReady(20 * time.Second) {
		b.Log("the instances do not serve")
		return nil
	}
	b.Log("all instances serve")
	return g
}
