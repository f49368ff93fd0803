// Package distributor arranges instances as a tree along which the state of the store is
// distributed. It has no clock and no network: instances with the same list compute the same tree.
//
// With a fixed number of children, the work of an instance doesn't grow with the fleet, and the
// number of hops grows with its logarithm. Each instance has two parents, so that the loss of one
// delays nothing.
package distributor

const (
	// Readers is the number of instances at the top, which read the store.
	Readers = 2
	// ChildrenPerPair is how many instances have the same two parents, which share their requests.
	ChildrenPerPair = 32
	// MaxDepth bounds the depth of an instance, which is 1 for a reader. Instances that disagree
	// about the tree may follow each other; their depths then grow beyond it.
	MaxDepth = 6
)

// Parents returns the indexes of the parents of the instance at an index of the ordered list.
// It is empty for a reader.
func Parents(index int) []int {
	if index < Readers {
		return nil
	}
	first := (index - Readers) / ChildrenPerPair * 2
	return []int{first, first + 1}
}

// Depth returns the depth of the instance at an index.
func Depth(index int) int {
	depth := 1
	for index >= Readers {
		index = Parents(index)[1]
		depth++
	}
	return depth
}
