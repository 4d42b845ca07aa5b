package main

import (
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cairnworks/cairnworks/port/httpport/wire"
	"github.com/cairnworks/cairnworks/stand"
)

const flagCrashInPlace = "crash-in-place"

// A zero flag value selects the default of package stand.

func crashInPlace() cli.Flag {
	return &cli.BoolFlag{Name: flagCrashInPlace, Usage: "a crash drops connections and state, but the process and its statistics are kept"}
}

func engineCommand() *cli.Command {
	return subcommand("engine", "a model engine", buildEngine, crashInPlace(),
		&cli.StringFlag{Name: "role", Usage: "prefill or decode", Value: stand.RoleDecode},
		&cli.StringSliceFlag{Name: "model", Usage: "model to serve; default: every model"},
		&cli.IntFlag{Name: "slots", Usage: "concurrent requests of a decode engine"},
		&cli.IntFlag{Name: "pieces", Usage: "number of memory pieces"},
		&cli.IntFlag{Name: "piece-tokens", Usage: "tokens per memory piece"},
		&cli.DurationFlag{Name: "token-time", Usage: "time between two tokens of a stream"},
		&cli.IntFlag{Name: "prefill-rate", Usage: "prefill tokens per second"},
		&cli.IntFlag{Name: "max-queued", Usage: "maximum number of queued prefills"},
		&cli.DurationFlag{Name: "kv-ttl", Usage: "lifetime of an unclaimed KV cache"},
		&cli.Int64Flag{Name: "kv-bytes", Usage: "KV cache bytes per token"},
		&cli.Int64Flag{Name: "link-rate", Usage: "bandwidth of the import link in bytes per second"},
		&cli.DurationFlag{Name: "resume-ttl", Usage: "how long a disconnected stream can be resumed"},
		&cli.DurationFlag{Name: "load-lag", Usage: "maximum age of a load report"},
		&cli.BoolFlag{Name: "checks-fencing", Usage: "reject orders with an outdated fencing token"},
		&cli.StringFlag{Name: "weights", Usage: "IP:port of the weight store"},
	)
}

func buildEngine(cmd *cli.Command) standIn {
	return stand.NewEngine(stand.EngineConfig{
		Role: cmd.String("role"), Models: cmd.StringSlice("model"), Slots: cmd.Int("slots"),
		Pieces: cmd.Int("pieces"), PieceTokens: cmd.Int("piece-tokens"), TokenTime: cmd.Duration("token-time"),
		PrefillTokensPerSecond: cmd.Int("prefill-rate"), MaxQueued: cmd.Int("max-queued"),
		KVTTL: cmd.Duration("kv-ttl"), KVBytesPerToken: cmd.Int64("kv-bytes"),
		LinkBytesPerSecond: cmd.Int64("link-rate"), ResumeTTL: cmd.Duration("resume-ttl"),
		LoadLag: cmd.Duration("load-lag"), ChecksFencing: cmd.Bool("checks-fencing"),
		Weights: cmd.String("weights"), OnCrash: onCrash(cmd),
	})
}

func plainCommand() *cli.Command {
	return subcommand("plain", "a plain service", func(cmd *cli.Command) standIn {
		return stand.NewPlain(stand.PlainConfig{
			ServiceTime: cmd.Duration("service-time"), Slots: cmd.Int("slots"), OnCrash: onCrash(cmd),
		})
	}, crashInPlace(),
		&cli.DurationFlag{Name: "service-time", Usage: "duration of a call"},
		&cli.IntFlag{Name: "slots", Usage: "concurrent calls"},
	)
}

func logCommand() *cli.Command {
	return subcommand("log", "the append-only log", func(cmd *cli.Command) standIn {
		return stand.NewLog(stand.LogConfig{
			AppendsPerSecond: cmd.Int("append-rate"), Retention: cmd.Duration("retention"), OnCrash: onCrash(cmd),
		})
	}, crashInPlace(),
		&cli.IntFlag{Name: "append-rate", Usage: "append calls per second"},
		&cli.DurationFlag{Name: "retention", Usage: "how long records are kept"},
	)
}

func listCommand() *cli.Command {
	return subcommand("list", "the list of instances and upstreams, with a configurable lag", func(cmd *cli.Command) standIn {
		return stand.NewList(stand.ListConfig{
			Lag:       cmd.Duration("lag"),
			Instances: parseListedAll(cmd.StringSlice("instance")),
			Upstreams: parseListedAll(cmd.StringSlice("upstream")),
		})
	},
		&cli.DurationFlag{Name: "lag", Usage: "delay before a change becomes visible in the list"},
		&cli.StringSliceFlag{Name: "instance", Usage: "NAME=IP:PORT=DATA-CENTRE"},
		&cli.StringSliceFlag{Name: "upstream", Usage: "NAME=IP:PORT=DATA-CENTRE"},
	)
}

func weightsCommand() *cli.Command {
	return subcommand("weights", "the weight store", func(cmd *cli.Command) standIn {
		return stand.NewWeights(stand.WeightsConfig{
			DefaultBytes: cmd.Int64("bytes"), BytesPerSecond: cmd.Int64("rate"),
		})
	},
		&cli.Int64Flag{Name: "bytes", Usage: "size of each model's weights"},
		&cli.Int64Flag{Name: "rate", Usage: "bytes per second, shared by all readers"},
	)
}

func parseListedAll(values []string) []wire.Listed {
	out := []wire.Listed{}
	for _, value := range values {
		out = append(out, parseListed(value))
	}
	return out
}

// parseListed parses NAME=IP:PORT=DATA-CENTRE. Omitted parts are left empty.
func parseListed(value string) wire.Listed {
	name, rest, _ := strings.Cut(value, "=")
	address, dataCentre, _ := strings.Cut(rest, "=")
	return wire.Listed{Name: name, Address: address, DataCentre: dataCentre}
}
