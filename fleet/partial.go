package fleet

import "time"

// A report of a large fleet is mostly what has not changed: whom its sender hears, which
// grows with the fleet, and the use of all organisations. It goes to everyone, so that all
// reports together grow with the fleet's square twice over. Only every fourth report tells
// all of it; the others tell each receiver whether it is heard, and what was spent lately. At
// 78 instances and 16 organisations a whole one takes 969 bytes, and a partial one 47 while
// nothing is spent (TestPartialReportsAreSmall).
const (
	// fullEvery is how many reports there are to one that is not partial. Whom others hear
	// is judged by times of several reports.
	fullEvery = 4
	// toldFor is how many reports tell of a spend after its last change, so that losing some
	// of them loses nothing.
	toldFor = 2 * fullEvery
	// greetings is how many whole reports follow when an instance has come, which takes no
	// partial one before; two, as one may be lost. Without them the 62 instances of a fleet that
	// had lost power heard one another some seconds later, held themselves for cut off, and
	// refused 1,447 requests by quota in place of 629 (one played day each).
	greetings = 2
)

// outline leaves out of reports what their receivers know.
type outline struct {
	// spends is what was last told of each organisation, and in which report it changed.
	spends map[Hash]toldSpend
}

type toldSpend struct {
	tokens  int64
	changed uint64
}

// trim leaves out of a report what has not changed lately.
func (o *outline) trim(r *Report) {
	if o.spends == nil {
		o.spends = make(map[Hash]toldSpend)
	}
	for name, s := range r.Spends {
		told, known := o.spends[name]
		if !known || told.tokens != s.Tokens {
			told = toldSpend{tokens: s.Tokens, changed: r.Sequence}
			o.spends[name] = told
		}
		if r.Partial && r.Sequence-told.changed >= toldFor {
			delete(r.Spends, name)
		}
	}
	if r.Partial {
		r.Works = nil
	}
}

// whole reports whether a report may be taken by itself or completes others that are still
// known. A partial one says nothing of an organisation whose total its receiver has never
// heard, or has missed for long.
func (l lastReport) whole(now time.Duration, r *Report, patience time.Duration) bool {
	return !r.Partial || l.full && now-l.at <= patience
}
