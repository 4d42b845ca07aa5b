package membership

import "slices"

// Self returns this instance with its current incarnation.
func (s *Service) Self() Member { return s.snapshot.Load().self }

// Members returns the members that are neither dead nor left, sorted by name. They include
// this instance and suspects; see State.
func (s *Service) Members() []Member { return slices.Clone(s.snapshot.Load().members) }

// All returns all known members sorted by name, including those that died or left within
// the last day.
func (s *Service) All() []Member { return slices.Clone(s.snapshot.Load().all) }
