package config

import (
	"fmt"
	"testing"

	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port"
)

// BenchmarkApplyFleetRecord is what one change costs every instance at 12000
// organisations with two keys each: decode and check.
func BenchmarkApplyFleetRecord(b *testing.B) {
	set := testSet(1)
	for i := range 12000 {
		name := fmt.Sprintf("organisation-%05d", i)
		set.Organisations = append(set.Organisations, object.Organisation{Name: name, Limit: "member"})
		for k := range 2 {
			key := fmt.Sprintf("%s-%d", name, k)
			set.Keys = append(set.Keys, object.Key{Name: key, Organisation: name, Hash: object.HashKey(key)})
		}
	}
	data, err := encodeSet(Header{Format: format, Kind: KindPublish}, set)
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
