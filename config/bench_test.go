package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// largeSet has the number of organisations expected later, 12000, with two keys each.
func largeSet() object.Set {
	set := testSet(1)
	for i := range 12000 {
		name := fmt.Sprintf("organisation-%05d", i)
		set.Organisations = append(set.Organisations, object.Organisation{Name: name, Limit: "member"})
		for k := range 2 {
			key := fmt.Sprintf("%s-%d", name, k)
			set.Keys = append(set.Keys, object.Key{Name: key, Organisation: name, Hash: object.HashKey(key)})
		}
	}
	return set
}

// BenchmarkApplyLargeSet measures the cost of applying a full set, which every instance pays.
func BenchmarkApplyLargeSet(b *testing.B) {
	data, err := encodeSet(Header{Format: recordFormat, Kind: KindPublish}, largeSet())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if NewReplay(1).Apply(port.Record{Offset: 1, Data: data})[0].Judgement != Accepted {
			b.Fatal("not accepted")
		}
	}
	b.ReportMetric(float64(len(data)), "bytes/record")
}

// BenchmarkApplyLargeChange measures the cost of applying the withdrawal of one key, which
// every instance pays.
func BenchmarkApplyLargeChange(b *testing.B) {
	full, err := encodeSet(Header{Format: recordFormat, Kind: KindPublish}, largeSet())
	if err != nil {
		b.Fatal(err)
	}
	start := NewReplay(1)
	start.Apply(port.Record{Offset: 1, Data: full, Appended: time.Now()})
	edited := largeSet()
	edited.Keys[7000].Withdrawn = true
	data, err := encodePublish(Header{Format: recordFormat, Kind: KindPublish, Base: 1, Through: 1}, edited, start)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		replay := *start
		if replay.Apply(port.Record{Offset: 2, Data: data})[0].Judgement != Accepted {
			b.Fatal("not accepted")
		}
	}
	b.ReportMetric(float64(len(data)), "bytes/record")
}
