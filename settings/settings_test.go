package settings

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `{"instance":"a","data_centre":"split-a","callers":{"address":"127.0.0.1:1"},
"peers":{"address":"127.0.0.1:2"},"operators":{"address":"127.0.0.1:3"},"platform":{"log":"127.0.0.1:4"}}`

func TestValidSettings(t *testing.T) {
	s, err := Parse("f", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.HeaderSeconds, 5)
	assert.Equal(t, s.DrainGraceSeconds, 5)
}

// If an operator mistypes a setting, the daemon must not start with an unintended default. The
// error must name the file and, for every invalid field at once, the field, its value and the
// allowed values.
func TestAllInvalidFieldsAreReported(t *testing.T) {
	for _, test := range []struct {
		name, data string
		want       []string
	}{
		{"unknown field", strings.Replace(validSettings, `"instance"`, `"instanse"`, 1), []string{`f: field "instanse": got an unknown field`}},
		{"wrong type", strings.Replace(validSettings, `"a"`, `7`, 1), []string{`f: field "instance": got a JSON number, allowed is a value of type string`}},
		{"not JSON", `{`, []string{"valid JSON"}},
		{"two values", validSettings + "{}", []string{"one object"}},
		{"many", `{"callers":{"address":"localhost:1"},"peers":{"address":"10.0.0.1:2","seeds":["x"]},"log_level":"loud","drain_seconds":-1,
			"operators":{"address":"10.0.0.1:3","token_file":"t"},"platform":{"log":"127.0.0.1:4","log_retention_seconds":5},"header_seconds":0}`, []string{
			`"instance"`, `"data_centre"`, `"callers.address": got "localhost:1"`, `"peers.seeds[0]"`, `"peers.secret_file"`,
			`"log_level": got "loud"`, `"drain_seconds"`, `"header_seconds"`, `"platform.log_retention_seconds"`,
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f", []byte(test.data))
			for _, want := range test.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// If an operator sets the CA for callers' certificates but omits the listener's own certificate,
// the instance would listen on plain TCP and accept every caller. The settings must be rejected.
func TestCAWithoutCertificateIsRejected(t *testing.T) {
	data := strings.Replace(validSettings, `"127.0.0.1:1"`, `"127.0.0.1:1","tls":{"ca_file":"ca.pem"}`, 1)
	_, err := Parse("f", []byte(data))
	assert.ErrorContains(t, err, `f: field "callers.tls.ca_file": got a file without cert_file`)
}

func TestEverySettingIsDescribed(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Describe(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Assert(t, len(lines) > 20)
	for _, line := range lines[1:] {
		assert.Assert(t, len(strings.Fields(line)) > 4, line)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"platform":{"log_retention_seconds":1e99}}`))
	example, err := os.ReadFile("../examples/settings.json")
	assert.NilError(f, err)
	f.Add(example)
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("f", data); err == nil && (s.Instance == "" || s.Callers.Address == "") {
			t.Fatal("settings without an instance or an address were accepted")
		}
	})
}
