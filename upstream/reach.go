package upstream

// Reach is the outcome of a check whether an upstream can be reached.
type Reach uint8

const (
	// ReachUnknown means that neither this instance nor another that was asked reached the upstream,
	// and that their own links may be the cause.
	ReachUnknown Reach = iota
	// Unreachable means that the upstream cannot be reached although other upstreams can.
	Unreachable
	// ReachedDirectly means that this instance reached the upstream.
	ReachedDirectly
	// ReachedByPeer means that only another instance reached the upstream.
	ReachedByPeer
)

// String returns the name used in logs.
func (r Reach) String() string {
	return [...]string{"unknown", "unreachable", "direct", "by_peer"}[r]
}
