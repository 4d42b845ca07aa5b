// Package settings reads a daemon's JSON settings file. The file contains an instance's addresses
// and its data centre. Everything that operators can change at run time is in the published object
// set instead.
package settings

// Settings is one instance's settings file.
type Settings struct {
	Instance string `json:"instance" doc:"name of this instance, unique in the fleet" unit:"name" default:"required"`
	// DataCentre is the data centre in which the instance runs.
	DataCentre string `json:"data_centre" doc:"data centre of this instance; upstreams in it are preferred when all else is equal" unit:"name" default:"required"`

	// Fleet is the name of the fleet. The default is the address of the log.
	Fleet string `json:"fleet" doc:"name of the fleet in logs, up to 64 bytes. It distinguishes fleets until the log has been read, so it must be unique on a network; the fleet itself is identified by the ID in its log" unit:"name" default:"the address of the log"`

	Callers   Callers   `json:"callers"`
	Peers     Peers     `json:"peers"`
	Operators Operators `json:"operators"`
	Platform  Platform  `json:"platform"`

	// LogLevel is the initial log level. Operators can change the level at run time.
	LogLevel string `json:"log_level" doc:"lowest severity that is logged; can be changed at run time" unit:"debug, info, warn or error" default:"info"`
	// DrainSeconds is how long a graceful shutdown waits for open requests; 0 means no limit.
	DrainSeconds int `json:"drain_seconds" doc:"longest time that a graceful shutdown waits for open requests; 0 means no limit" unit:"seconds" default:"0"`
	// DrainGraceSeconds is how long a draining instance still accepts requests.
	DrainGraceSeconds int `json:"drain_grace_seconds" doc:"time for which a draining instance still accepts requests, because the platform's load balancer detects the drain with a delay; must exceed that delay" unit:"seconds" default:"5"`
	// HeaderSeconds limits the time that a connection may take to send complete headers.
	HeaderSeconds int `json:"header_seconds" doc:"longest time a caller may take to send its headers" unit:"seconds" default:"5"`
}

// Callers configures the address to which the platform's load balancer sends callers.
type Callers struct {
	Address string `json:"address" doc:"address for callers" unit:"IP:port" default:"required"`
	TLS     TLS    `json:"tls"`
}

// Peers configures the address for other instances. The same port serves Connect RPCs over TCP and
// heartbeats over UDP.
type Peers struct {
	Address    string   `json:"address" doc:"address for other instances, TCP and UDP" unit:"IP:port" default:"required"`
	Seeds      []string `json:"seeds" doc:"peer addresses to contact at the start, in addition to the platform's list" unit:"list of IP:port" default:"none"`
	SecretFile string   `json:"secret_file" doc:"file with the secret that instances share; without it, any process that can reach the address is accepted as an instance" unit:"path" default:"none, loopback addresses only"`
	TLS        TLS      `json:"tls"`
}

// Operators configures the address for operators and metrics scrapers.
type Operators struct {
	Address   string `json:"address" doc:"address for operators: health, metrics, status, commands" unit:"IP:port" default:"required"`
	TokenFile string `json:"token_file" doc:"file with the operators' bearer token" unit:"path" default:"none, loopback addresses only"`
}

// TLS names the certificate and key files of a listener. The files are reloaded when they change.
type TLS struct {
	CertFile string `json:"cert_file" doc:"certificate chain in PEM form; reloaded on change" unit:"path" default:"none, plain TCP"`
	KeyFile  string `json:"key_file" doc:"private key in PEM form; reloaded on change" unit:"path" default:"none"`
	CAFile   string `json:"ca_file" doc:"certificate authorities that must have issued the other side's certificate" unit:"path" default:"none"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log string `json:"log" doc:"address of the append-only log" unit:"IP:port" default:"required"`
	// LogRetentionSeconds is how long the log is expected to keep a record.
	LogRetentionSeconds int    `json:"log_retention_seconds" doc:"how long the log keeps records; idempotency keys are remembered for half of it and the configuration is republished within it" unit:"seconds" default:"86400"`
	List                string `json:"list" doc:"address of the list of instances" unit:"IP:port" default:"none, seeds only"`
	Weights             string `json:"weights" doc:"address of the weight store" unit:"IP:port" default:"none"`
}

// FleetName returns the name of the instance's fleet. The default is the address of the log. The
// name distinguishes fleets only until the fleet ID has been read from the log.
func (s Settings) FleetName() string {
	if s.Fleet != "" {
		return s.Fleet
	}
	return s.Platform.Log
}

// Default returns the default values of the settings.
func Default() Settings {
	return Settings{
		LogLevel: "info", HeaderSeconds: 5, DrainGraceSeconds: 5,
		Platform: Platform{LogRetentionSeconds: 86400},
	}
}
