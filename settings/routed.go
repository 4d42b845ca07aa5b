package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"text/tabwriter"
)

// Routed is the settings file of an instance that serves routed requests.
type Routed struct {
	Instance   string `json:"instance" doc:"name of this instance, unique in the fleet" unit:"name" default:"required"`
	DataCentre string `json:"data_centre" doc:"data centre of this instance; upstreams in it are preferred when all else is equal" unit:"name" default:"required"`
	// Fleet is the name of the fleet in logs.
	Fleet string `json:"fleet" doc:"name of the fleet in logs, up to 64 bytes. It has no other effect: fleets are distinguished by the ID in their store" unit:"name" default:"the address of the store"`
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool `json:"first_start" doc:"the whole system starts for the first time, so no part of any quota has been used" unit:"true or false" default:"false"`

	Callers   string `json:"callers" doc:"address for callers" unit:"IP:port" default:"required"`
	Readiness string `json:"readiness" doc:"address of the load balancer's readiness probe" unit:"IP:port" default:"required"`
	Reports   string `json:"reports" doc:"UDP address for reports of other instances" unit:"IP:port" default:"required"`
	Metrics   string `json:"metrics" doc:"address that serves /metrics" unit:"IP:port" default:"none"`
	Store     string `json:"store" doc:"address of the platform's store" unit:"IP:port" default:"required"`

	Cores    float64 `json:"cores" doc:"CPU cores that the process may use; in a large fleet, the instances with most cores relay the reports of the others" unit:"cores" default:"0, the lowest rank"`
	MemoryMB int     `json:"memory_mb" doc:"memory that the process may use; half of it is the memory limit of the Go runtime" unit:"MB" default:"unlimited"`
	// RevokeMS is the platform's upper bound on how long a withdrawn key may still be accepted.
	RevokeMS     int     `json:"revoke_ms" doc:"longest time that a withdrawn key may still be accepted, even by an instance that is disconnected from the store" unit:"ms" default:"5000"`
	ApplyMS      int     `json:"apply_ms" doc:"time within which a new configuration must be active" unit:"ms" default:"2000"`
	LeaveMS      int     `json:"leave_ms" doc:"longest time that an upstream may still receive work after it has announced that it is leaving" unit:"ms" default:"2000"`
	GraceS       float64 `json:"grace_s" doc:"time from SIGTERM until the process is killed" unit:"seconds" default:"8"`
	RetryRatio   float64 `json:"retry_ratio" doc:"retries to a service, relative to its requests in a window" unit:"fraction" default:"0.1"`
	RetryWindowS float64 `json:"retry_window_s" doc:"window of the retry budget" unit:"seconds" default:"10"`
	RetrySlack   float64 `json:"retry_slack" doc:"additional retries per window, for the whole fleet" unit:"retries" default:"20"`
	QuotaWindowS float64 `json:"quota_window_s" doc:"window over which quotas are enforced" unit:"seconds" default:"8"`
	QuotaOver    float64 `json:"quota_over" doc:"fraction by which a quota may be exceeded in a window" unit:"fraction" default:"0"`
	QuotaSlack   float64 `json:"quota_slack" doc:"tokens by which a quota may additionally be exceeded in a window" unit:"tokens" default:"0"`
	LeaseMS      int     `json:"lease_ms" doc:"time within which at most one instance may give orders to an engine" unit:"ms" default:"3000"`
	RenewMS      int     `json:"renew_ms" doc:"interval at which upstreams renew their entries in the store" unit:"ms" default:"1200"`
	// MaxRefusedShare is 0 if no connection is refused.
	MaxRefusedShare float64 `json:"max_refused_share" doc:"highest share of the new connections that an instance whose processor is overloaded closes before it reads them, for callers that then try another instance; 0 for none" unit:"fraction" default:"0.8"`
	// The following are off unless they are set, so that a deployment is served as before until its operators ask for them.
	PlainQueue    bool `json:"plain_queue" doc:"requests to plain services wait in one queue of the fleet for a place at an upstream, in place of being sent by each instance's own knowledge of the load" unit:"true or false" default:"false"`
	EjectFailing  bool `json:"eject_failing" doc:"upstreams that fail more of their requests than their pool and their own past explain get only trial requests" unit:"true or false" default:"false"`
	QuotaOrder    bool `json:"quota_order" doc:"the urgent requests of an organisation come first when its quota is spent, and refusals state a time at which tokens are set aside for the caller" unit:"true or false" default:"false"`
	LateAnswers   bool `json:"late_answers" doc:"requests that can no longer be answered within their objective are answered late with the capacity that is left over, while their callers wait, and refused at once if there is none" unit:"true or false" default:"false"`
	UpstreamSpeed bool `json:"upstream_speed" doc:"requests are placed by the speed of each upstream, which is learned from its answers" unit:"true or false" default:"false"`
	// ReadAheadShare is 0 if no answer is read ahead of its caller.
	ReadAheadShare float64 `json:"read_ahead_share" doc:"share of the memory for answers that are held for callers that read slowly, so that their upstreams are released; 0 for no limit and no reading ahead" unit:"fraction" default:"0"`
	LogLevel       string  `json:"log_level" doc:"lowest severity that is logged" unit:"debug, info, warn or error" default:"info"`
}

// DefaultRouted returns the default values of the settings.
func DefaultRouted() Routed {
	return Routed{RevokeMS: 5000, ApplyMS: 2000, LeaveMS: 2000, GraceS: 8, RetryRatio: 0.1, RetryWindowS: 10, RetrySlack: 20, QuotaWindowS: 8, LeaseMS: 3000, RenewMS: 1200, MaxRefusedShare: 0.8, LogLevel: "info"}
}

// LoadRouted reads and validates a settings file. The returned error joins a FieldError for every
// invalid field.
func LoadRouted(file string) (Routed, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Routed{}, err
	}
	return ParseRouted(file, data)
}

// ParseRouted decodes and validates the settings in data. The file name is used in errors only.
func ParseRouted(file string, data []byte) (Routed, error) {
	s := DefaultRouted()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return Routed{}, decodeError(file, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Routed{}, FieldError{file, "(file)", "more than one JSON value", "one object"}
	}
	return s, s.validate(file)
}

// FleetName returns the name of the instance's fleet. The default is the address of the store.
func (s *Routed) FleetName() string {
	if s.Fleet != "" {
		return s.Fleet
	}
	return s.Store
}

func (s *Routed) validate(file string) error {
	v := &validator{file: file}
	v.required("instance", s.Instance)
	v.required("data_centre", s.DataCentre)
	v.fleet(s.Fleet)
	v.address("callers", s.Callers, true)
	v.address("readiness", s.Readiness, true)
	v.address("reports", s.Reports, true)
	v.address("metrics", s.Metrics, false)
	v.address("store", s.Store, true)
	v.level(s.LogLevel)
	for _, n := range []struct {
		field string
		value float64
	}{
		{"cores", s.Cores}, {"memory_mb", float64(s.MemoryMB)}, {"retry_ratio", s.RetryRatio}, {"retry_slack", s.RetrySlack},
		{"quota_over", s.QuotaOver}, {"quota_slack", s.QuotaSlack},
	} {
		if n.value < 0 {
			v.reject(n.field, fmt.Sprint(n.value), "0 or more")
		}
	}
	if s.ReadAheadShare < 0 || s.ReadAheadShare >= 1 {
		v.reject("read_ahead_share", fmt.Sprint(s.ReadAheadShare), "0 or more and below 1")
	}
	if s.MaxRefusedShare < 0 || s.MaxRefusedShare >= 1 {
		v.reject("max_refused_share", fmt.Sprint(s.MaxRefusedShare), "0 or more and below 1")
	}
	for _, n := range []struct {
		field string
		value float64
	}{
		{"revoke_ms", float64(s.RevokeMS)}, {"apply_ms", float64(s.ApplyMS)}, {"lease_ms", float64(s.LeaseMS)}, {"renew_ms", float64(s.RenewMS)}, {"leave_ms", float64(s.LeaveMS)}, {"grace_s", s.GraceS}, {"retry_window_s", s.RetryWindowS}, {"quota_window_s", s.QuotaWindowS},
	} {
		if n.value <= 0 {
			v.reject(n.field, fmt.Sprint(n.value), "above 0")
		}
	}
	return errors.Join(v.errs...)
}

// DescribeRouted writes a table of all settings of an instance that serves routed requests, with
// their unit, default and effect.
func DescribeRouted(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SETTING\tUNIT\tDEFAULT\tEFFECT")
	describeFields(table, "", reflect.TypeFor[Routed]())
	return table.Flush()
}
