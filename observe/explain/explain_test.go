package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const firstLog = `ts=2026-01-02T03:04:05.100Z level=info msg=placed request=7 upstream=i-1 tokens=5
ts=2026-01-02T03:04:05.101Z level=info msg=answered request=8 status=200
not a line of ours
ts=2026-01-02T03:04:05.200Z level=info msg="attempt failed" request=7 upstream=i-1 reason=upstream_crashed error="reset \"by\" peer"
ts=2026-01-02T03:04:05.150Z level=info msg=refused request=7 reason=upstream_crashed status=502
ts=2026-01-0`

// Guards against lines that are missed or out of order if the lines of a request are spread over
// the logs of several instances, one of which was killed while writing.
func TestLinesOfOneRequest(t *testing.T) {
	r := NewRequestReader("7")
	assert.NilError(t, r.Read("a", strings.NewReader(firstLog)))
	assert.NilError(t, r.Read("b", strings.NewReader("ts=2026-01-02T03:04:05.050Z level=info msg=retried request=7 sent=1\n")))
	s := r.Timeline()
	var events []string
	for _, line := range s.Lines {
		events = append(events, line.Source+" "+line.Event)
	}
	assert.DeepEqual(t, events, []string{"b retried", "a placed", "a attempt failed", "a refused"})
	assert.Equal(t, s.Deciding, 3)
	assert.Equal(t, s.Lines[s.Deciding].Field("status"), "502")
	assert.Equal(t, s.Lines[2].Field("error"), `reset "by" peer`)
	assert.Equal(t, s.Unreadable, 2)
}

func TestUnknownRequest(t *testing.T) {
	r := NewRequestReader("9")
	assert.NilError(t, r.Read("a", strings.NewReader(firstLog)))
	assert.Equal(t, r.Timeline().Deciding, -1)
	assert.Equal(t, len(r.Timeline().Lines), 0)
}

// Guards against unparsable lines that hide a request. Logs that engineers paste contain prefixes
// of a log collector (the time and the instance's name), lines of other programs, binary data and
// overlong lines.
func TestPastedLogs(t *testing.T) {
	log := "worth 0.566 = whole day 0.7\n" +
		"\x00\xff\"= \"\n" +
		strings.Repeat("x", 3*maxLineBytes) + "\n" +
		"  17.0173 edge-2 ts=2026-01-02T03:04:05.100Z level=info msg=placed request=7 upstream=i-1\n" +
		"ts=2026-01-02T03:04:05.150Z level=info msg=\"cut off request=7\n" +
		"  17.0300 edge-2 ts=2026-01-02T03:04:05.200Z level=info msg=answered request=7 status=200\n"
	r := NewRequestReader("7")
	assert.NilError(t, r.Read("pasted", strings.NewReader(log)))
	s := r.Timeline()
	assert.Equal(t, len(s.Lines), 2)
	assert.Equal(t, s.Deciding, 1)
	assert.Equal(t, s.Lines[0].Field("instance"), "edge-2")
	assert.Equal(t, s.Lines[1].Number, 6)
	assert.Equal(t, s.Unreadable, 4)
}

// Guards against a table that misses failed requests or counts successful ones.
func TestFailuresAreCountedByReason(t *testing.T) {
	f := NewFailureReader()
	assert.NilError(t, f.Read("a", strings.NewReader(firstLog)))
	assert.NilError(t, f.Read("b", strings.NewReader(
		"1.0 edge-1 ts=2026-01-02T03:04:07Z msg=refused request=10 reason=rate_limited status=429 held=0.2 detail=\"used up\"\n"+
			"1.1 edge-2 ts=2026-01-02T03:04:06Z msg=refused request=11 reason=rate_limited status=429 held=0.4\n"+
			"1.1 edge-2 ts=2026-01-02T03:04:09Z msg=refused request=12 reason=rate_limited status=429 held=0.3\n"+
			"1.2 edge-2 ts=2026-01-02T03:04:08Z msg=answered request=13 status=500 took=0.1\n"+
			"1.3 edge-2 ts=2026-01-02T03:04:08Z msg=\"answer broken off\" request=14 status=200 took=3 error=reset\n")))
	table := f.Failures()
	assert.Equal(t, table.Decided, 7)
	assert.Equal(t, table.Unreadable, 2)
	var rows []string
	for _, row := range table.Rows {
		rows = append(rows, fmt.Sprintf("%d %s %s %d", row.Count, row.Status, row.Reason, row.Instances))
	}
	assert.DeepEqual(t, rows, []string{"3 429 rate_limited 2", "1 200 broken_off 1", "1 500 upstream_answer 1", "1 502 upstream_crashed 1"})
	limited := table.Rows[0]
	assert.Equal(t, limited.MedianDuration, 300*time.Millisecond)
	assert.Equal(t, limited.Example+limited.Detail, "10used up")
	assert.Equal(t, limited.Last.Sub(limited.First), 3*time.Second)
}

// Guards against descriptions that cannot be understood without knowledge of the source code.
func TestTimelineSentences(t *testing.T) {
	r := NewRequestReader("7")
	assert.NilError(t, r.Read("edge-1", strings.NewReader(
		"ts=2026-01-02T03:04:05.100Z msg=placed request=7 upstream=i-1 tokens=5599 waited=0.0344 pool_free=0.1064\n"+
			"ts=2026-01-02T03:04:05.110Z msg=\"attempt failed\" request=7 upstream=i-1 role=decode reason=wrong_upstream ran=not_run\n"+
			"ts=2026-01-02T03:04:05.111Z msg=\"something new\" request=7\n"+
			"ts=2026-01-02T03:04:05.120Z msg=refused request=7 reason=wrong_upstream ran=not_run status=503 retry_after=1.5 held=0.041 detail=\"another stage\"\n")))
	assert.DeepEqual(t, r.Timeline().Sentences(), []string{
		"At 03:04:05.100 on edge-1 it waited 34ms for placement and was allocated 5599 tokens of KV cache at i-1; 11 % of all KV cache was free.",
		"At 03:04:05.110 on edge-1 an attempt at the decode upstream i-1 failed (wrong_upstream); it did not run there.",
		"At 03:04:05.120 on edge-1 it was refused with status 503 (wrong_upstream), 41ms after it arrived: another stage; it did not run there, and its caller was told to retry after 1.5s; this was the final outcome.",
	})
	for event := range eventDescriptions {
		assert.Assert(t, eventDescriptions[event](Line{Event: event}) != "", "a line without fields")
	}
}
