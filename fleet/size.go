package fleet

import (
	"strconv"

	"github.com/cairnworks/cairnworks/decision/hub"
)

// Size is the number of instances of a fleet, the one that tells it included. The zero value is
// a size that is not known yet: an instance that has just started is not a fleet of one.
type Size struct{ instances int }

// SizeOf returns a known size. A fleet has at least one instance.
func SizeOf(instances int) Size { return Size{max(instances, 1)} }

// Instances returns the number of instances; ok is false where it is not known.
func (s Size) Instances() (n int, ok bool) { return s.instances, s.instances > 0 }

// Large reports whether the fleet is known to be so large that reports go by way of hubs.
func (s Size) Large() bool { return s.instances > hub.MaxFullMesh }

// PerInstance is one instance's equal part of what the fleet shares, nothing where the size is not known.
func (s Size) PerInstance(whole float64) float64 {
	if s.instances == 0 {
		return 0
	}
	return whole / float64(s.instances)
}

// String returns the number, or "unknown".
func (s Size) String() string {
	if s.instances == 0 {
		return "unknown"
	}
	return strconv.Itoa(s.instances)
}
