package routed_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cairnworks/cairnworks/platform/standin"
)

// nested returns JSON arrays in one another.
func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// invalidEntries returns entries that another writer may leave in the list of upstreams, and that, but for three, describe
// none. sound is the address of an upstream.
func invalidEntries(sound string) map[string]string {
	entry := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"s","address":"%s","zone":"z","slots":%s,"state":"ready","seq":1%s}`, address, slots, more)
	}
	return map[string]string{
		"nested value":         strings.Repeat("[", 200_000),
		"nested objects":       strings.Repeat(`{"a":`, 200_000),
		"nested field":         entry(sound, "4", `,"x":`+nested(9000)),
		"nested too deeply":    entry(sound, "4", `,"x":`+nested(50_000)),
		"nested slots":         entry(sound, nested(9000), ""),
		"slots with exponent":  entry(sound, "1e999", ""),
		"slots of 20 digits":   entry(sound, "99999999999999999999", ""),
		"most slots":           entry(sound, "9223372036854775807", ""),
		"slots that overflow":  entry(sound, "4611686018427387904", ""),
		"negative slots":       entry(sound, "-9223372036854775808", ""),
		"largest start":        entry(sound, "4", `,"born":9223372036854775807`),
		"negative start":       entry(sound, "4", `,"born":-9223372036854775808`),
		"port out of range":    entry("127.0.0.1:65536", "4", ""),
		"large port":           entry("127.0.0.1:99999999999999999999", "4", ""),
		"negative port":        entry("127.0.0.1:-1", "4", ""),
		"port 0":               entry("127.0.0.1:0", "4", ""),
		"no port":              entry("127.0.0.1", "4", ""),
		"named port":           entry("127.0.0.1:http", "4", ""),
		"no address":           entry("", "4", ""),
		"no IP":                entry(":80", "4", ""),
		"unspecified IP":       entry("0.0.0.0:80", "4", ""),
		"address out of range": entry("127.0.0.256:80", "4", ""),
		"name":                 entry("localhost:80", "4", ""),
		"long address":         entry(strings.Repeat("9", 300_000)+":80", "4", ""),
		"not UTF-8":            entry("\xff\xfe:80", "4", ""),
		"space in the address": entry("127.0.0.1: 80", "4", ""),
	}
}

// Guards against an instance that ends, stops following the list of upstreams or refuses requests because of invalid
// entries.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	f := prepare(t, "a", respondSigned)
	sound := f.engine.Listener.Addr().String()
	put := func(when string) {
		for name, entry := range invalidEntries(sound) {
			f.store.put("keyed.servers", name+" "+when, entry)
		}
	}
	served := func() bool { status, _, err := f.request("k"); return err == nil && status == http.StatusOK }
	put("before the start")
	f.run(t)
	f.eventually(t, func() bool { return f.ready() })
	f.eventually(t, served)
	put("after the start")
	for n := range 50 {
		status, _, err := f.request("k")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, "request %d", n)
	}
	// A later entry is followed.
	other := httptest.NewServer(http.HandlerFunc(respondSigned))
	defer other.Close()
	f.store.put("keyed.servers", "i-2", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","slots":4,"state":"ready","seq":1}`, other.Listener.Addr()))
	f.eventually(t, func() bool { return strings.Contains(f.metrics(t), "cairnworks_upstreams 8") })
	select {
	case err := <-f.done:
		t.Fatalf("the instance has ended: %v", err)
	default:
	}
}

// Guards against refused drafts because entries with invalid addresses count as engines, so that the engines that exist
// are ordered to another stage.
func TestInvalidEntriesAreNotPlanned(t *testing.T) {
	f := newPartitionFleet(t, 2)
	for name, entry := range invalidEntries("127.0.0.1:65536") {
		for _, stage := range []string{standin.StagePrefill, standin.StageDecode} {
			f.store.PutEntry(name+" "+stage, []byte(strings.Replace(entry, `"service":"s"`, fmt.Sprintf(`"service":%q,"stage":%q`, standin.ModelService, stage), 1)))
		}
	}
	time.Sleep(partitionGrace) // The list is read within this time.
	for _, i := range f.instances {
		for _, failure := range i.sendAll("beside", 10) {
			t.Error(failure)
		}
	}
}
