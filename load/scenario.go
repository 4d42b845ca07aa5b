// Package load drives real instances over loopback with a seeded mix of requests,
// brings about faults by schedule, and checks every answer against the promises:
// whole, the caller's own, once, and "not run" only when nothing ran. It simulates
// no part of a fleet. Arrivals are open-loop: a request starts at its scheduled
// time whatever became of earlier ones, and latencies count from that time, so
// that a stalled instance cannot hide the waits it caused.
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

// Duration is a time.Duration written as text, such as "1.5s".
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

// Scenario is a scenario file.
type Scenario struct {
	Name string `json:"name"`
	// Notes say what the scenario stands for and what fleet it needs.
	Notes string `json:"notes"`
	// Seed fixes arrivals, prompts, cancels and resends.
	Seed     uint64   `json:"seed"`
	Duration Duration `json:"duration"`
	// Settle is how long after the last request engines may take until they hold
	// nothing; set it below the engines' own time for streams without a connection.
	Settle Duration `json:"settle"`
	// Patience ends a request that got no outcome; that breaks a promise.
	Patience  Duration   `json:"patience"`
	Instances []Instance `json:"instances"`
	// Engines and PlainServices are addresses of stand-ins, for their stats.
	Engines       []string       `json:"engines"`
	PlainServices []string       `json:"plain_services"`
	Organisations []Organisation `json:"organisations"`
	Kinds         []Kind         `json:"kinds"`
	Faults        []Fault        `json:"faults"`
	// Processes are watched for processor time and memory (Linux only); see
	// BindProcesses.
	Processes []Process `json:"processes"`
}

// Process is a running process that somebody else started.
type Process struct {
	Name string `json:"name"`
	PID  int    `json:"pid"`
}

// Instance is one entry instance.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Organisation is a customer that sends requests.
type Organisation struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share multiplies the rates of all kinds; 0 means 1.
	Share float64 `json:"share"`
	// TokensPerSecond and Burst are the organisation's published limit; 0 means
	// that its rate is not checked.
	TokensPerSecond float64 `json:"tokens_per_second"`
	Burst           float64 `json:"burst"`
	// Surges multiply its rate for a time.
	Surges []Surge `json:"surges"`
}

// Surge is a time during which an organisation sends several times its rate.
type Surge struct {
	From   Duration `json:"from"`
	To     Duration `json:"to"`
	Factor float64  `json:"factor"`
}

// Forms of requests.
const (
	FormChat = "chat"
	FormText = "text"
	FormCall = "call"
)

// Kind is one sort of request in the mix.
type Kind struct {
	Name string `json:"name"`
	// Form is FormChat, FormText or FormCall.
	Form string `json:"form"`
	// PerSecond is the rate of arrivals for each organisation with Share 1.
	PerSecond float64 `json:"per_second"`
	// Organisations that send it; empty means all.
	Organisations []string `json:"organisations"`
	// FirstByte and PerToken are the targets that goodput counts against;
	// 0 means 1.7 s and 53 ms.
	FirstByte Duration `json:"first_byte"`
	PerToken  Duration `json:"per_token"`
	// CancelShare of the requests are cancelled after up to CancelWithin.
	CancelShare  float64  `json:"cancel_share"`
	CancelWithin Duration `json:"cancel_within"`
	// Retries is how often a caller asks again after a refusal or failure that is
	// said to be retryable, at another instance, after the time it was told.
	Retries int `json:"retries"`

	// Model requests: lengths in tokens, drawn log-uniformly between two bounds.
	Model        string `json:"model"`
	Stream       bool   `json:"stream"`
	Deferrable   bool   `json:"deferrable"`
	PromptTokens [2]int `json:"prompt_tokens"`
	MaxTokens    [2]int `json:"max_tokens"`
	// SharedPrefixes prefixes of SharedTokens tokens stand before the prompts.
	SharedPrefixes int `json:"shared_prefixes"`
	SharedTokens   int `json:"shared_tokens"`
	// Marker is a text at the end of the prompt, for crash_on_text.
	Marker string `json:"marker"`

	// Calls of plain services.
	Service    string `json:"service"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	// Cost of a call in tokens; 0 means 1.
	Cost int `json:"cost"`
	// ResendShare of the calls are sent a second time with the same idempotency
	// key, to another instance, up to ResendWithin after the first.
	ResendShare  float64  `json:"resend_share"`
	ResendWithin Duration `json:"resend_within"`
}

// Fault is brought about at a time of the run: a signal to a process, or faults
// at a stand-in.
type Fault struct {
	At Duration `json:"at"`
	// Signal (KILL, STOP, CONT or TERM) is sent to a process that somebody else
	// started, named as its instance; its id is PID or comes from BindProcesses.
	// Answers that go through it may break off, but not after TERM, which asks for
	// a graceful shutdown.
	Signal  string `json:"signal"`
	Process string `json:"process"`
	PID     int    `json:"pid"`
	// StandIn is the address of a stand-in that gets Faults.
	StandIn string       `json:"stand_in"`
	Faults  stand.Faults `json:"faults"`
}

// ReadScenario reads and checks a scenario file. Unknown fields are refused.
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
	s.fillDefaults()
	return s, s.check()
}

// Defaults of a scenario. The targets are the users': first token within 1.7 s,
// 53 ms between tokens.
const (
	defaultFirstByte = 1700 * time.Millisecond
	defaultPerToken  = 53 * time.Millisecond
	defaultPatience  = 60 * time.Second
	defaultSettle    = 15 * time.Second
)

func (s *Scenario) fillDefaults() {
	setDuration(&s.Patience, defaultPatience)
	setDuration(&s.Settle, defaultSettle)
	for i := range s.Organisations {
		if s.Organisations[i].Share == 0 {
			s.Organisations[i].Share = 1
		}
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		setDuration(&k.FirstByte, defaultFirstByte)
		setDuration(&k.PerToken, defaultPerToken)
		setDuration(&k.CancelWithin, time.Second)
		setDuration(&k.ResendWithin, time.Second)
		k.Cost = max(k.Cost, 1)
		if k.Form == FormCall && k.Method == "" {
			k.Method = http.MethodGet
		}
	}
}

func setDuration(d *Duration, value time.Duration) {
	if d.Duration == 0 {
		d.Duration = value
	}
}

func (s *Scenario) check() error {
	switch {
	case s.Duration.Duration <= 0:
		return oops.In("load").Errorf("duration must be positive")
	case len(s.Instances) == 0:
		return oops.In("load").Errorf("no instances")
	case len(s.Organisations) == 0:
		return oops.In("load").Errorf("no organisations")
	}
	for _, k := range s.Kinds {
		if err := k.check(); err != nil {
			return oops.In("load").With("kind", k.Name).Wrap(err)
		}
	}
	for _, f := range s.Faults {
		if (f.Process != "") == (f.StandIn != "") {
			return oops.In("load").Errorf("a fault names either process or stand_in")
		}
		if _, known := signals[f.Signal]; f.Process != "" && !known {
			return oops.In("load").Errorf("signal %q is not one of KILL, STOP, CONT, TERM", f.Signal)
		}
	}
	return nil
}

func (k *Kind) check() error {
	switch k.Form {
	case FormCall:
		if k.Service == "" || k.Path == "" {
			return fmt.Errorf("a call needs service and path")
		}
	case FormChat, FormText:
		if k.Model == "" || !validRange(k.PromptTokens) || !validRange(k.MaxTokens) {
			return fmt.Errorf("a model request needs model, prompt_tokens and max_tokens")
		}
	default:
		return fmt.Errorf("form %q is not one of chat, text, call", k.Form)
	}
	return nil
}

func validRange(r [2]int) bool { return r[0] > 0 && r[1] >= r[0] }
