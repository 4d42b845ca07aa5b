package object

import (
	"encoding/json"
	"fmt"
	"testing"
)

// fleetSet returns a set of the size that the operators expect later: 12000 organisations
// with two keys each, 23 model services and 600 upstreams.
func fleetSet() Set {
	var s Set
	s.Limits = []Limit{{Name: "standard", TokensPerSecond: 100, Burst: 100000}}
	for i := range 12000 {
		name := fmt.Sprintf("organisation-%05d", i)
		s.Organisations = append(s.Organisations, Organisation{Name: name, Limit: "standard"})
		for k := range 2 {
			key := fmt.Sprintf("%s-%d", name, k)
			s.Keys = append(s.Keys, Key{Name: key, Organisation: name, Hash: HashKey(key)})
		}
	}
	for i := range 23 {
		name := fmt.Sprintf("service-%02d", i)
		s.Services = append(s.Services, Service{Name: name, Kind: KindModel, Models: []string{"model-" + name}})
	}
	for i := range 600 {
		role := RoleDecode
		if i%3 == 0 {
			role = RolePrefill
		}
		s.Upstreams = append(s.Upstreams, Upstream{Name: fmt.Sprintf("upstream-%03d", i), Service: s.Services[i/3%23].Name, Role: role,
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/200, i%200+1), DataCentre: "dc-1", Slots: 20, Pieces: 160})
	}
	return s
}

func BenchmarkCheckFleet(b *testing.B) {
	set := fleetSet()
	for b.Loop() {
		if faults := Check(set); len(faults) > 0 {
			b.Fatal(faults[0])
		}
	}
}

func BenchmarkParseFleet(b *testing.B) {
	data, _ := json.Marshal(fleetSet())
	b.ReportMetric(float64(len(data)), "bytes/set")
	for b.Loop() {
		Parse("f", data)
	}
}

func BenchmarkIndexFleet(b *testing.B) {
	set := fleetSet()
	b.ReportAllocs()
	for b.Loop() {
		NewIndex(set, 1)
	}
}

func BenchmarkKeyByHash(b *testing.B) {
	x := NewIndex(fleetSet(), 1)
	for b.Loop() {
		x.KeyByHash(HashKey("organisation-06000-1"))
	}
}
