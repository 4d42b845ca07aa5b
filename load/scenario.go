// Package load sends a seeded mix of requests to running instances over loopback, injects faults
// on a schedule, and verifies every answer against the guarantees: it is complete, belongs to the
// caller's own request and is delivered once, and a refusal says "not run" only if nothing ran. It
// simulates no part of a fleet. Arrivals are open-loop: a request starts at its scheduled time
// regardless of earlier ones, and latencies are measured from that time, so that a stalled
// instance cannot hide the delays it caused.
package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/stand"
)

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration struct{ time.Duration }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	d.Duration = parsed
	return err
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// Scenario is the content of a scenario file.
type Scenario struct {
	Name string `json:"name"`
	// Notes describes what the scenario represents and which fleet it needs.
	Notes string `json:"notes"`
	// Seed determines arrivals, prompts, cancellations and resends.
	Seed     uint64   `json:"seed"`
	Duration Duration `json:"duration"`
	// SettleTimeout is how long after the last request engines may still hold streams. Set it below
	// the engines' own timeout for streams without a connection.
	SettleTimeout Duration `json:"settle"`
	// RequestTimeout aborts a request that has no outcome, which counts as a violation.
	RequestTimeout Duration   `json:"patience"`
	Instances      []Instance `json:"instances"`
	// Engines and PlainServices are the addresses of stand-ins whose statistics are read.
	Engines       []string       `json:"engines"`
	PlainServices []string       `json:"plain_services"`
	Organisations []Organisation `json:"organisations"`
	Kinds         []Kind         `json:"kinds"`
	Faults        []Fault        `json:"faults"`
	// Processes are monitored for CPU time and memory (Linux only); see BindProcesses.
	Processes []Process `json:"processes"`
}

// Process is a running process that was not started by this program.
type Process struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
}

// Instance is an instance that the load generator sends requests to.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Organisation is an organisation whose callers send requests.
type Organisation struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// RateFactor multiplies the request rates of all kinds; 0 means 1.
	RateFactor float64 `json:"share"`
	// TokensPerSecond and Burst are the organisation's configured rate limit; with 0, its rate is
	// not verified.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Burst           float64 `json:"burst"`
	// Surges are periods with an increased request rate.
	Surges []Surge `json:"surges"`
}

// Surge is a period during which an organisation multiplies its request rate.
type Surge struct {
	From   Duration `json:"from"`
	To     Duration `json:"to"`
	Factor float64  `json:"factor"`
}

// Request forms.
const (
	FormChat = "chat"
	FormText = "text"
	FormCall = "call"
)

// Kind is a class of requests in the mix.
type Kind struct {
	Name string `json:"name"`
	// Form is FormChat, FormText or FormCall.
	Form string `json:"form"`
	// RequestsPerSecond is the arrival rate for each organisation with RateFactor 1.
	RequestsPerSecond float64 `json:"per_second"`
	// Organisations lists the organisations that send this kind; empty means all.
	Organisations []string `json:"organisations"`
	// FirstByteTarget and PerTokenTarget are the latency targets that an answer must meet to count
	// towards goodput; 0 means 1.7 s and 53 ms.
	FirstByteTarget Duration `json:"first_byte"`
	PerTokenTarget  Duration `json:"per_token"`
	// CancelShare is the fraction of requests that are cancelled, at a random time within
	// CancelWithin.
	CancelShare  float64  `json:"cancel_share"`
	CancelWithin Duration `json:"cancel_within"`
	// Retries is the maximum number of retries after a refusal or failure that is marked as
	// retryable. Each goes to another instance, after the delay that the error gave.
	Retries int `json:"retries"`

	// Model requests. Lengths are in tokens, drawn log-uniformly between two bounds.
	Model        string `json:"model"`
	Stream       bool   `json:"stream"`
	Deferrable   bool   `json:"deferrable"`
	PromptTokens [2]int `json:"prompt_tokens"`
	MaxTokens    [2]int `json:"max_tokens"`
	// SharedPrefixes is the number of distinct prefixes, of SharedTokens tokens each, that prompts
	// start with.
	SharedPrefixes int `json:"shared_prefixes"`
	SharedTokens   int `json:"shared_tokens"`
	// Marker is appended to the prompt, to trigger the stand-ins' crash_on_text fault.
	Marker string `json:"marker"`

	// Calls to plain services.
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// Cost is the cost of a call in tokens; 0 means 1.
	Cost int `json:"cost"`
	// ResendShare is the fraction of calls that are sent a second time with the same idempotency
	// key, to another instance, at a random time within ResendWithin after the first.
	ResendShare  float64  `json:"resend_share"`
	ResendWithin Duration `json:"resend_within"`
}

// Fault is injected at a given time of the run: a signal to a process, or faults at a stand-in.
type Fault struct {
	At Duration `json:"at"`
	// Signal (KILL, STOP, CONT or TERM) is sent to Process, which has the name of its instance and
	// was not started by this program. Its process ID is PID or comes from BindProcesses. KILL and
	// STOP may interrupt answers through that instance; TERM requests a graceful shutdown and must
	// not.
	Signal  string `json:"signal"`
	Process string `json:"process"`
	PID     int    `json:"pid"`
	// StandIn is the address of the stand-in at which Faults are set.
	StandIn string       `json:"stand_in"`
	Faults  stand.Faults `json:"faults"`
}

// ReadScenario reads and validates a scenario file. It rejects unknown fields.
func ReadScenario(path string) (*Scenario, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, oops.In("load").Wrap(err)
	}
	defer file.Close()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	s := &Scenario{}
	if err := decoder.Decode(s); err != nil {
		return nil, oops.In("load").With("file", path).Wrap(err)
	}
	s.setDefaults()
	return s, s.validate()
}

// Defaults of a scenario. The latency targets are those of the operators: the first token within
// 1.7 s and 53 ms between tokens.
const (
	defaultFirstByteTarget = 1700 * time.Millisecond
	defaultPerTokenTarget  = 53 * time.Millisecond
	defaultRequestTimeout  = 60 * time.Second
	defaultSettleTimeout   = 15 * time.Second
)

func (s *Scenario) setDefaults() {
	setDefaultDuration(&s.RequestTimeout, defaultRequestTimeout)
	setDefaultDuration(&s.SettleTimeout, defaultSettleTimeout)
	for i := range s.Organisations {
		if s.Organisations[i].RateFactor == 0 {
			s.Organisations[i].RateFactor = 1
		}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		setDefaultDuration(&k.FirstByteTarget, defaultFirstByteTarget)
		setDefaultDuration(&k.PerTokenTarget, defaultPerTokenTarget)
		setDefaultDuration(&k.CancelWithin, time.Second)
		setDefaultDuration(&k.ResendWithin, time.Second)
		k.Cost = max(k.Cost, 1)
		if k.Form == FormCall && k.Method == "" {
			k.Method = http.MethodGet
		}
	}
}

func setDefaultDuration(d *Duration, value time.Duration) {
	if d.Duration == 0 {
		d.Duration = value
	}
}

func (s *Scenario) validate() error {
	switch {
	case s.Duration.Duration <= 0:
		return oops.In("load").Errorf("duration must be positive")
	case len(s.Instances) == 0:
		return oops.In("load").Errorf("the scenario has no instances")
	case len(s.Organisations) == 0:
		return oops.In("load").Errorf("the scenario has no organisations")
	}
	for _, k := range s.Kinds {
		if err := k.validate(); err != nil {
			return oops.In("load").With("kind", k.Name).Wrap(err)
		}
	}
	for _, f := range s.Faults {
		if (f.Process != "") == (f.StandIn != "") {
			return oops.In("load").Errorf("a fault must name exactly one of process and stand_in")
		}
		if _, known := signals[f.Signal]; f.Process != "" && !known {
			return oops.In("load").Errorf("signal %q is not one of KILL, STOP, CONT, TERM", f.Signal)
		}
	}
	return nil
}

func (k *Kind) validate() error {
	switch k.Form {
	case FormCall:
		if k.Service == "" || k.Path == "" {
			return fmt.Errorf("a call must have service and path")
		}
	case FormChat, FormText:
		if k.Model == "" || !validRange(k.PromptTokens) || !validRange(k.MaxTokens) {
			return fmt.Errorf("a model request must have model and valid ranges for prompt_tokens and max_tokens")
		}
	default:
		return fmt.Errorf("form %q is not one of chat, text, call", k.Form)
	}
	return nil
}

func validRange(r [2]int) bool { return r[0] > 0 && r[1] >= r[0] }
