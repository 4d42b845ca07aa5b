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

// minLogRetentionSeconds keeps half of the retention, the time for which
// idempotency keys are remembered, an hour below the whole: what a reader needs
// to fall behind without losing sight of a key.
const minLogRetentionSeconds = 7200

// Fault is one thing wrong with a settings file.
type Fault struct {
	File    string
	Field   string
	Given   string
	Allowed string
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: field %q: got %s, allowed is %s", f.File, f.Field, f.Given, f.Allowed)
}

// Load reads and checks a settings file. The error joins every Fault found.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, data)
}

// LoadPartial reads a settings file over given settings: fields that the file
// does not name keep what base says.
func LoadPartial(file string, base Settings) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return parseOver(file, data, base)
}

// Parse checks the settings in data; file only names them in errors.
func Parse(file string, data []byte) (Settings, error) {
	return parseOver(file, data, Default())
}

func parseOver(file string, data []byte, s Settings) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Settings{}, decodeFault(file, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Settings{}, Fault{file, "(file)", "more than one JSON value", "one object"}
	}
	return s, check(file, s)
}

// decodeFault turns the decoder's errors into a Fault that names the field.
func decodeFault(file string, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return Fault{file, wrongType.Field, "a JSON " + wrongType.Value, "a value of type " + wrongType.Type.String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return Fault{file, strings.Trim(name, `"`), "an unknown field", "only the fields that 'cairnworksd settings' lists"}
	}
	return Fault{file, "(file)", err.Error(), "valid JSON"}
}

// checker collects the faults of one file.
type checker struct {
	file   string
	faults []error
}

func (c *checker) fault(field, given, allowed string) {
	c.faults = append(c.faults, Fault{c.file, field, given, allowed})
}

func check(file string, s Settings) error {
	c := &checker{file: file}
	c.required("instance", s.Instance)
	c.required("data_centre", s.DataCentre)
	c.fleet(s.Fleet)
	c.address("callers.address", s.Callers.Address, true)
	c.address("peers.address", s.Peers.Address, true)
	c.address("operators.address", s.Operators.Address, true)
	c.address("platform.log", s.Platform.Log, true)
	c.address("platform.list", s.Platform.List, false)
	c.address("platform.weights", s.Platform.Weights, false)
	for i, seed := range s.Peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed, true)
	}
	c.tls("callers.tls", s.Callers.TLS)
	c.tls("peers.tls", s.Peers.TLS)
	c.guarded("peers", s.Peers.Address, "secret_file", s.Peers.SecretFile)
	c.guarded("operators", s.Operators.Address, "token_file", s.Operators.TokenFile)
	c.level(s.LogLevel)
	if s.Platform.LogRetentionSeconds < minLogRetentionSeconds {
		c.fault("platform.log_retention_seconds", fmt.Sprint(s.Platform.LogRetentionSeconds), fmt.Sprintf("%d or more", minLogRetentionSeconds))
	}
	if s.DrainSeconds < 0 {
		c.fault("drain_seconds", fmt.Sprint(s.DrainSeconds), "0 or more")
	}
	if s.DrainGraceSeconds < 0 {
		c.fault("drain_grace_seconds", fmt.Sprint(s.DrainGraceSeconds), "0 or more")
	}
	if s.HeaderSeconds < 1 {
		c.fault("header_seconds", fmt.Sprint(s.HeaderSeconds), "1 or more")
	}
	return errors.Join(c.faults...)
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.fault(field, "nothing", "a name")
	}
}

// maxFleetName bounds the fleet's name in bytes; every datagram between instances carries it.
const maxFleetName = 64

func (c *checker) fleet(name string) {
	if len(name) > maxFleetName || strings.ContainsFunc(name, unicode.IsControl) {
		c.fault("fleet", fmt.Sprintf("%q", name), fmt.Sprintf("up to %d bytes without control characters", maxFleetName))
	}
}

func (c *checker) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fault(field, fmt.Sprintf("%q", value), "an IP number and a port, such as 127.0.0.1:8080")
	}
}

func (c *checker) tls(field string, t TLS) {
	if (t.CertFile == "") != (t.KeyFile == "") {
		c.fault(field, "one of cert_file and key_file", "both or none")
	}
	// Without a certificate the listener speaks plain TCP and checks nobody's
	// certificate, while whoever wrote the file believes that it does.
	if t.CAFile != "" && t.CertFile == "" {
		c.fault(field+".ca_file", "a file without cert_file", "ca_file beside cert_file and key_file")
	}
}

// guarded refuses an unprotected address that others can reach: anybody on the
// network could then drain instances or inject grants.
func (c *checker) guarded(section, address, field, file string) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || file != "" || parsed.Addr().IsLoopback() {
		return
	}
	c.fault(section+"."+field, "nothing", "a file, as "+section+".address is not a loopback address")
}

func (c *checker) level(level string) {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.fault("log_level", fmt.Sprintf("%q", level), "debug, info, warn or error")
	}
}
