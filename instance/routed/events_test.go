package routed_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// On-call engineers rely on the tables of log events and metrics in the operations manual. The
// tables must contain every event and metric in the code, and no others.
func TestEventAndMetricTablesMatchCode(t *testing.T) {
	doc, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, section, ok := strings.Cut(string(doc), "## Routed instances")
	assert.Assert(t, ok)
	table := map[string]bool{}
	for _, line := range strings.Split(section, "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		names, _, _ := strings.Cut(line[2:], " | ")
		for _, name := range strings.Split(names, ", ") {
			table[strings.Trim(name, "` ")] = true
		}
	}
	written := map[string]bool{}
	call := regexp.MustCompile(`(?:\.(?:Info|Warn|Error)|\blogChange)\("([^"]+)"`)
	for _, folder := range []string{"../../gateway", "../../fleet", "../../follow", "../../fleetid", "../../relay", ".", "../../cmd/cairnworksd"} {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "cairnworksd/main.go") {
				continue
			}
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			for _, match := range call.FindAllStringSubmatch(string(text), -1) {
				written[match[1]] = true
			}
		}
	}
	assert.Assert(t, len(written) > 20, "%d events found", len(written))
	metric := regexp.MustCompile(`\.(?:Counter|Gauge|Histogram)\("([^"]+)"`)
	for _, file := range []string{"../../observe/metrics.go", "../../fleetid/verifier.go", "../../relay/transport.go", "../../relay/server.go"} {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, match := range metric.FindAllStringSubmatch(string(text), -1) {
			written["cairnworks_"+match[1]] = true
		}
	}
	for name := range written {
		assert.Check(t, table[name], "%q is written but missing from the tables", name)
	}
	for name := range table {
		assert.Check(t, written[name], "%q is in the tables but never written", name)
	}
}
