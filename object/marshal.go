package object

import "encoding/json"

// MarshalJSON writes lists without objects as empty arrays. Go's null for them
// would be refused by Parse and by the schema when the text is read again.
func (s Set) MarshalJSON() ([]byte, error) {
	type plain Set
	notNull(&s.Organisations)
	notNull(&s.Keys)
	notNull(&s.Services)
	notNull(&s.Upstreams)
	notNull(&s.Limits)
	return json.Marshal(plain(s))
}

func notNull[T any](list *[]T) {
	if *list == nil {
		*list = []T{}
	}
}
