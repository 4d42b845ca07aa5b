package fleet

import (
	"strconv"

	"github.com/cairnworks/cairnworks/decision/hub"
)

// Size is the number of instances of a fleet, including this one. The zero value means that the size is
// not known yet: an instance that has just started must not assume a fleet of one.
type Size struct{ instances int }

// SizeOf returns a known size, which is at least one.
func SizeOf(instances int) Size { return Size{max(instances, 1)} }

// Instances returns the number of instances; ok is false if it is unknown.
func (s Size) Instances() (n int, ok bool) { return s.instances, s.instances > 0 }

// Large reports whether the fleet is known to be so large that reports are sent through hubs.
func (s Size) Large() bool { return s.instances > hub.MaxFullMesh }

// PerInstance returns one instance's equal share of whole, or 0 if the size is unknown.
func (s Size) PerInstance(whole float64) float64 {
	if s.instances == 0 {
		return 0
	}
	return whole / float64(s.instances)
}

// String returns the number of instances, or "unknown".
func (s Size) String() string {
	if s.instances == 0 {
		return "unknown"
	}
	return strconv.Itoa(s.instances)
}
