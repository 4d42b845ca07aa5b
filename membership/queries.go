package membership

import "slices"

// Self returns this instance under its current incarnation.
func (s *Service) Self() Member { return s.snapshot.Load().self }

// Members returns the members that are not dead or left, this instance included,
// sorted by name. Suspects are among them; see State.
func (s *Service) Members() []Member { return slices.Clone(s.snapshot.Load().members) }

// All returns every known member, dead and left ones of the last day included,
// sorted by name.
func (s *Service) All() []Member { return slices.Clone(s.snapshot.Load().all) }
