package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"unicode"
)

// minLogRetentionSeconds is the shortest allowed log retention. Idempotency keys are remembered for
// half of the retention. At this minimum the other half is one hour, which is how far a reader of
// the log may fall behind without missing a key.
const minLogRetentionSeconds = 7200

// FieldError describes an invalid field of a settings file.
type FieldError struct {
	File    string
	Field   string
	Given   string
	Allowed string
}

// Error implements error.
func (f FieldError) Error() string {
	return fmt.Sprintf("%s: field %q: got %s, allowed is %s", f.File, f.Field, f.Given, f.Allowed)
}

// Load reads and validates a settings file. The returned error joins a FieldError for every invalid
// field.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, data)
}

// LoadPartial reads and validates a settings file that overrides base: fields that the file omits
// keep their values from base.
func LoadPartial(file string, base Settings) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return parseWithBase(file, data, base)
}

// Parse decodes and validates the settings in data. The file name is used in errors only.
func Parse(file string, data []byte) (Settings, error) {
	return parseWithBase(file, data, Default())
}

func parseWithBase(file string, data []byte, s Settings) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, decodeError(file, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, FieldError{file, "(file)", "more than one JSON value", "one object"}
	}
	return s, validate(file, s)
}

// decodeError converts an error of the JSON decoder to a FieldError that names the field.
func decodeError(file string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return FieldError{file, typeErr.Field, "a JSON " + typeErr.Value, "a value of type " + typeErr.Type.String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return FieldError{file, strings.Trim(name, `"`), "an unknown field", "only the fields that 'cairnworksd settings' lists"}
	}
	return FieldError{file, "(file)", err.Error(), "valid JSON"}
}

// validator collects the errors of one file.
type validator struct {
	file string
	errs []error
}

func (v *validator) reject(field, given, allowed string) {
	v.errs = append(v.errs, FieldError{v.file, field, given, allowed})
}

func validate(file string, s Settings) error {
	v := &validator{file: file}
	v.required("instance", s.Instance)
	v.required("data_centre", s.DataCentre)
	v.fleet(s.Fleet)
	v.address("callers.address", s.Callers.Address, true)
	v.address("peers.address", s.Peers.Address, true)
	v.address("operators.address", s.Operators.Address, true)
	v.address("platform.log", s.Platform.Log, true)
	v.address("platform.list", s.Platform.List, false)
	v.address("platform.weights", s.Platform.Weights, false)
	for i, seed := range s.Peers.Seeds {
		v.address(fmt.Sprintf("peers.seeds[%d]", i), seed, true)
	}
	v.tls("callers.tls", s.Callers.TLS)
	v.tls("peers.tls", s.Peers.TLS)
	v.secretRequired("peers", s.Peers.Address, "secret_file", s.Peers.SecretFile)
	v.secretRequired("operators", s.Operators.Address, "token_file", s.Operators.TokenFile)
	v.level(s.LogLevel)
	if s.Platform.LogRetentionSeconds < minLogRetentionSeconds {
		v.reject("platform.log_retention_seconds", fmt.Sprint(s.Platform.LogRetentionSeconds), fmt.Sprintf("%d or more", minLogRetentionSeconds))
	}
	if s.DrainSeconds < 0 {
		v.reject("drain_seconds", fmt.Sprint(s.DrainSeconds), "0 or more")
	}
	if s.DrainGraceSeconds < 0 {
		v.reject("drain_grace_seconds", fmt.Sprint(s.DrainGraceSeconds), "0 or more")
	}
	if s.HeaderSeconds < 1 {
		v.reject("header_seconds", fmt.Sprint(s.HeaderSeconds), "1 or more")
	}
	return errors.Join(v.errs...)
}

func (v *validator) required(field, value string) {
	if value == "" {
		v.reject(field, "nothing", "a name")
	}
}

// maxFleetName is the maximum length of the fleet's name in bytes. Every datagram between instances
// contains the name.
const maxFleetName = 64

func (v *validator) fleet(name string) {
	if len(name) > maxFleetName || strings.ContainsFunc(name, unicode.IsControl) {
		v.reject("fleet", fmt.Sprintf("%q", name), fmt.Sprintf("up to %d bytes without control characters", maxFleetName))
	}
}

func (v *validator) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.reject(field, fmt.Sprintf("%q", value), "an IP address and a port, such as 127.0.0.1:8080")
	}
}

func (v *validator) tls(field string, t TLS) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		v.reject(field, "one of cert_file and key_file", "both or neither")
	}
	// Without its own certificate, the listener uses plain TCP and verifies no client certificates,
	// although the operator who set ca_file expects it to.
	if t.CAFile != "" && t.CertFile == "" {
		v.reject(field+".ca_file", "a file without cert_file", "ca_file together with cert_file and key_file")
	}
}

// secretRequired rejects an address other than loopback without a secret or token file, because
// anyone on the network could then drain instances or inject grants.
func (v *validator) secretRequired(section, address, field, file string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || file != "" || parsed.Addr().IsLoopback() {
		return
	}
	v.reject(section+"."+field, "nothing", "a file, because "+section+".address is not a loopback address")
}

func (v *validator) level(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		v.reject("log_level", fmt.Sprintf("%q", level), "debug, info, warn or error")
	}
}
