package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// fleetSet has the users' later number of organisations, with two keys each.
func fleetSet() object.Set {
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

// BenchmarkApplyFleetSet is what a whole set costs every instance.
func BenchmarkApplyFleetSet(b *testing.B) {
	data, err := encodeSet(Header{Format: format, Kind: KindPublish}, fleetSet())
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

// BenchmarkApplyFleetChange is what the withdrawal of one key costs every instance.
func BenchmarkApplyFleetChange(b *testing.B) {
	whole, err := encodeSet(Header{Format: format, Kind: KindPublish}, fleetSet())
	if err != nil {
		b.Fatal(err)
	}
	start := NewReplay(1)
	start.Apply(port.Record{Offset: 1, Data: whole, Appended: time.Now()})
	edited := fleetSet()
	edited.Keys[7000].Withdrawn = true
	data, err := encodePublish(Header{Format: format, Kind: KindPublish, Base: 1, Through: 1}, edited, start)
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
