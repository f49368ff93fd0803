package exchanger

import "math"

// DecompressItems is decompressItems.
var DecompressItems = decompressItems

// ParentAddresses is parentAddresses.
func (e *Exchanger) ParentAddresses() []string { return e.parentAddresses() }

// FixParents makes an instance follow the given parents until it knows another peer of its region.
func (e *Exchanger) FixParents(addresses ...string) {
	e.parents, e.parentsAt, e.peersAdded = addresses, math.MaxInt64/2, e.Discoverer.RegionAddedCount()
}
