package object

import "encoding/json"

// MarshalJSON encodes nil lists as empty arrays. Parse and the schema reject null, the
// default encoding of nil slices.
func (s Set) MarshalJSON() ([]byte, error) {
	type withoutMethods Set
	nilToEmpty(&s.Organisations)
	nilToEmpty(&s.Keys)
	nilToEmpty(&s.Services)
	nilToEmpty(&s.Upstreams)
	nilToEmpty(&s.Limits)
	return json.Marshal(withoutMethods(s))
}

func nilToEmpty[T any](list *[]T) {
	if *list == nil {
		*list = []T{}
	}
}
