// Package settings reads a daemon's JSON settings. An instance learns its
// addresses and its data centre from them; everything operators change while it
// runs is in the published object set instead.
package settings

// Settings is one instance's settings file.
type Settings struct {
	// Instance is the instance's name.
	Instance string `json:"instance" doc:"name of this instance, unique in the fleet" unit:"name" default:"required"`
	// DataCentre is where the instance stands.
	DataCentre string `json:"data_centre" doc:"data centre of this instance; upstreams in it are preferred when all else is equal" unit:"name" default:"required"`

	// Fleet is what people call the fleet.
	Fleet string `json:"fleet" doc:"name of the fleet in logs, up to 64 bytes. It tells fleets apart until the log has been read, so no two fleets on one network may share it; what makes a fleet is its log, which keeps the fleet's id" unit:"name" default:"the address of the log"`

	Callers   Callers   `json:"callers"`
	Peers     Peers     `json:"peers"`
	Operators Operators `json:"operators"`
	Platform  Platform  `json:"platform"`

	// LogLevel is the level at start; it changes at run time by an operator's command.
	LogLevel string `json:"log_level" doc:"least severe level that is logged; can be changed while running" unit:"debug, info, warn or error" default:"info"`
	// DrainSeconds bounds a graceful shutdown.
	DrainSeconds int `json:"drain_seconds" doc:"longest time that a graceful shutdown waits for open requests; 0 waits however long they take" unit:"seconds" default:"0"`
	// DrainGraceSeconds is how long a draining instance still takes requests.
	DrainGraceSeconds int `json:"drain_grace_seconds" doc:"time in which a draining instance still takes requests, since the platform's balancer learns late that it leaves; set it above the balancer's lag" unit:"seconds" default:"5"`
	// HeaderSeconds bounds how long a connection may stay without a whole header.
	HeaderSeconds int `json:"header_seconds" doc:"longest time a caller may take to send its headers" unit:"seconds" default:"5"`
}

// Callers is the address that the platform's balancer sends callers to.
type Callers struct {
	Address string `json:"address" doc:"address for callers" unit:"IP:port" default:"required"`
	TLS     TLS    `json:"tls"`
}

// Peers is the address for other instances: connect over TCP and heartbeats over
// UDP, on the same port.
type Peers struct {
	Address    string   `json:"address" doc:"address for other instances, TCP and UDP" unit:"IP:port" default:"required"`
	Seeds      []string `json:"seeds" doc:"peer addresses tried at the start, besides the platform's list" unit:"list of IP:port" default:"none"`
	SecretFile string   `json:"secret_file" doc:"file with the secret that instances share; without it any process that reaches the address is taken for an instance" unit:"path" default:"none, loopback addresses only"`
	TLS        TLS      `json:"tls"`
}

// Operators is the address for operators and scrapers.
type Operators struct {
	Address   string `json:"address" doc:"address for operators: health, metrics, status, commands" unit:"IP:port" default:"required"`
	TokenFile string `json:"token_file" doc:"file with the operators' bearer token" unit:"path" default:"none, loopback addresses only"`
}

// TLS names the certificate and key of a listener. The files are read again when
// they change.
type TLS struct {
	CertFile string `json:"cert_file" doc:"certificate chain in PEM form; reloaded on change" unit:"path" default:"none, plain TCP"`
	KeyFile  string `json:"key_file" doc:"private key in PEM form; reloaded on change" unit:"path" default:"none"`
	CAFile   string `json:"ca_file" doc:"authorities that the other side's certificate must come from" unit:"path" default:"none"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log string `json:"log" doc:"address of the append-only log" unit:"IP:port" default:"required"`
	// LogRetentionSeconds bounds how long the log is trusted to keep a record.
	LogRetentionSeconds int    `json:"log_retention_seconds" doc:"how long the log keeps records; idempotency keys are remembered for half of it and the configuration is republished within it" unit:"seconds" default:"86400"`
	List                string `json:"list" doc:"address of the list of instances" unit:"IP:port" default:"none, seeds only"`
	Weights             string `json:"weights" doc:"address of the weight store" unit:"IP:port" default:"none"`
}

// FleetName is the name of the fleet that the instance belongs to, the log's address by
// default. It tells fleets apart only until the log has been read.
func (s Settings) FleetName() string {
	if s.Fleet != "" {
		return s.Fleet
	}
	return s.Platform.Log
}

// Default returns the settings that hold where a file says nothing.
func Default() Settings {
	return Settings{
		LogLevel: "info", HeaderSeconds: 5, DrainGraceSeconds: 5,
		Platform: Platform{LogRetentionSeconds: 86400},
	}
}
