package settings

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validRoutedSettings = `{"instance":"a","data_centre":"d","callers":"1.2.3.4:1","readiness":"1.2.3.4:2","reports":"1.2.3.4:3","store":"1.2.3.4:4"}`

func TestRoutedDefaults(t *testing.T) {
	s, err := ParseRouted("f", []byte(validRoutedSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.RevokeMS, 5000)
	assert.Equal(t, s.LogLevel, "info")
}

// All errors of a file must be reported at once. If each start reported only one of several errors,
// every further error would cost another failed start.
func TestRoutedReportsAllInvalidFields(t *testing.T) {
	_, err := ParseRouted("f", []byte(`{"instance":"a","callers":"here","revoke_ms":-1,"quota_over":-2,"log_level":"loud"}`))
	for _, field := range []string{"data_centre", "callers", "readiness", "reports", "store", "revoke_ms", "quota_over", "log_level"} {
		assert.Assert(t, err != nil && strings.Contains(err.Error(), `"`+field+`"`), field)
	}
	for _, bad := range []string{`{"unknown":1}`, `{`, validRoutedSettings + `{}`, `{"instance":7}`} {
		_, err := ParseRouted("f", []byte(bad))
		assert.Assert(t, err != nil, bad)
	}
	_, err = LoadRouted("no such file")
	assert.Assert(t, err != nil)
}

func TestRoutedSettingsAreDescribed(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, DescribeRouted(&out))
	assert.Assert(t, strings.Contains(out.String(), "revoke_ms"))
}
