package eventstream

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cairnworks/cairnworks/propertyseed"
)

func TestMain(m *testing.M) { os.Exit(propertyseed.Run(m)) }

func TestEndsOfEvents(t *testing.T) {
	for _, c := range []struct {
		text        string
		end, events int
		inEvent     bool
	}{
		{"", 0, 0, false},
		{"\n", 1, 0, false},
		{"id: 1\ndata: x\n\n", 15, 1, false},
		{"id: 1\ndata: x\n", 0, 0, true},
		{"id: 1\ndata: x\n\nid: 2", 15, 1, true},
		{"data: x\r\n\r\n", 11, 1, false},
		{"data: x\r\n\r", 10, 1, false},
		{"data: x\r\n", 0, 0, true},
		{"data: x\r\rdata: y\r", 9, 1, true},
		{"data: x\n\r\n", 10, 1, false},
		{"data: x\n\n\n\n", 11, 1, false},
		{": comment\n\n", 11, 1, false},
		{": comment\n", 0, 0, true},
	} {
		var s Scanner
		assert.Equal(t, s.Scan([]byte(c.text)), c.end, "%q", c.text)
		assert.Equal(t, s.Events(), c.events, "%q", c.text)
		assert.Equal(t, s.InEvent(), c.inEvent, "%q", c.text)
	}
}

func TestLastID(t *testing.T) {
	for text, want := range map[string]string{
		"": "", "data: id: 7\n\n": "", "id: 1\n\nid: 2\ndata: x\n\n": "2", "id:1\r\ndata: x\r\n\r\n": "1", "id: 3\rdata: x\r\r": "3",
	} {
		id, ok := LastID([]byte(text))
		assert.Equal(t, id, want, "%q", text)
		assert.Equal(t, ok, want != "", "%q", text)
	}
}

// naiveEvents splits a stream at once, after all ends of lines were made the same.
func naiveEvents(text string) (events int, inEvent bool) {
	text = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
	blocks := regexp.MustCompile(`\n\n+`).Split(strings.TrimLeft(text, "\n"), -1)
	return len(blocks) - 1, blocks[len(blocks)-1] != ""
}

// The result must not depend on the pieces in which a stream arrives, and must be that of a scan of the whole.
func TestPiecesDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOfN(rapid.SampledFrom([]rune("a:\r\n")), 0, 40, -1).Draw(t, "text")
		var s Scanner
		ends, read := 0, 0
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			if end := s.Scan([]byte(rest[:n])); end > 0 {
				ends = read + end
			}
			read += n
			rest = rest[n:]
		}
		var whole Scanner
		assert.Equal(t, ends, whole.Scan([]byte(text)))
		events, inEvent := naiveEvents(text)
		assert.Equal(t, s.Events(), events, "%q", text)
		assert.Equal(t, s.InEvent(), inEvent, "%q", text)
	})
}
