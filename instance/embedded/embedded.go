// Package embedded provides the environment for running an instance in a single process on
// loopback: stand-ins for the engines, a plain service and the platform, and an example object set.
// It is meant for demonstrations and tests.
package embedded

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"

	"github.com/samber/oops"

	"github.com/cairnworks/cairnworks/config"
	"github.com/cairnworks/cairnworks/object"
	"github.com/cairnworks/cairnworks/port/httpport"
	"github.com/cairnworks/cairnworks/settings"
	"github.com/cairnworks/cairnworks/stand"
)

// Dimensions of the example. They are small so that its status output stays short.
const (
	prefillEngines = 2
	decodeEngines  = 2
	dataCentre     = "split-a"
)

// Platform is the set of running stand-ins.
type Platform struct {
	// Set is the published example object set.
	Set object.Set
	// Key is a caller's key for the first organisation of the example set.
	Key string
	// Log and List are the addresses of the platform's stand-ins.
	Log, List string

	servers []*http.Server
	closers []func()
}

// StartPlatform starts the stand-ins and publishes the example object set.
func StartPlatform(ctx context.Context) (*Platform, error) {
	p := &Platform{Key: generateKey()}
	if err := p.start(ctx); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) start(ctx context.Context) error {
	var err error
	if p.Log, err = p.startLog(); err != nil {
		return err
	}
	list := stand.NewList(stand.ListConfig{})
	if p.List, err = p.serve(list.Handler(), list.Close); err != nil {
		return err
	}
	upstreams, err := p.startUpstreams()
	if err != nil {
		return err
	}
	p.Set = exampleSet(p.Key, upstreams)
	publisher := config.NewPublisher(httpport.NewLog(p.Log, nil))
	_, err = publisher.Publish(ctx, p.Set, 0, "example set")
	return err
}

func (p *Platform) startLog() (string, error) {
	log := stand.NewLog(stand.LogConfig{})
	return p.serve(log.Handler(), log.Close)
}

func (p *Platform) startUpstreams() ([]object.Upstream, error) {
	var upstreams []object.Upstream
	add := func(name, service string, role object.Role, slots int, handler http.Handler, closer func()) error {
		address, err := p.serve(handler, closer)
		upstreams = append(upstreams, object.Upstream{
			Name: name, Service: service, Role: role, Address: address, DataCentre: dataCentre, Slots: slots,
		})
		return err
	}
	for i := range prefillEngines {
		e := stand.NewEngine(stand.EngineConfig{Role: string(object.RolePrefill)})
		if err := add("pisar-prefill-"+ordinal(i), "pisar", object.RolePrefill, 4, e.Handler(), e.Close); err != nil {
			return nil, err
		}
	}
	for i := range decodeEngines {
		e := stand.NewEngine(stand.EngineConfig{Role: string(object.RoleDecode)})
		if err := add("pisar-decode-"+ordinal(i), "pisar", object.RoleDecode, 20, e.Handler(), e.Close); err != nil {
			return nil, err
		}
	}
	plain := stand.NewPlain(stand.PlainConfig{})
	err := add("dezurstva-1", "dezurstva", object.RolePlain, 16, plain.Handler(), plain.Close)
	for i := range upstreams {
		if upstreams[i].Role == object.RoleDecode {
			upstreams[i].Pieces = 400
			upstreams[i].LinkBytesPerSecond = 25_000_000_000
		}
	}
	return upstreams, err
}

func ordinal(i int) string { return string(rune('1' + i)) }

func exampleSet(key string, upstreams []object.Upstream) object.Set {
	return object.Set{
		Organisations: []object.Organisation{{Name: "zoo-split", Limit: "member"}, {Name: "zoo-rijeka", Limit: "member"}},
		Keys:          []object.Key{{Name: "zoo-split-1", Organisation: "zoo-split", Hash: object.HashKey(key)}},
		Services: []object.Service{
			{Name: "pisar", Kind: object.KindModel, Models: []string{"pisar-small"}, MaxPromptTokens: 16384, MaxOutputTokens: 2048},
			{Name: "dezurstva", Kind: object.KindPlain, Calls: []object.CallRule{
				{Method: http.MethodGet, Path: "/roster/", Idempotent: true},
				{Method: http.MethodPost, Path: "/swaps", Cost: 5},
			}},
		},
		Upstreams: upstreams,
		Limits:    []object.Limit{{Name: "member", TokensPerSecond: 5000, Burst: 60000}},
	}
}

// serve starts an HTTP server on a free loopback port and returns its address. Close calls closer.
func (p *Platform) serve(handler http.Handler, closer func()) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("embedded").Wrap(err)
	}
	server := &http.Server{Handler: handler}
	p.servers = append(p.servers, server)
	p.closers = append(p.closers, closer)
	go func() { _ = server.Serve(listener) }() // returns when Close is called
	return listener.Addr().String(), nil
}

// Close stops the stand-ins.
func (p *Platform) Close() {
	for _, closer := range p.closers {
		closer()
	}
	for _, server := range p.servers {
		_ = server.Close()
	}
}

// Settings returns settings for an instance that uses the stand-ins and listens on free loopback
// ports.
func (p *Platform) Settings(name string, seeds ...string) settings.Settings {
	s := settings.Default()
	s.Instance, s.DataCentre = name, dataCentre
	s.Callers.Address, s.Peers.Address, s.Operators.Address = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Peers.Seeds = seeds
	s.Platform.Log, s.Platform.List = p.Log, p.List
	return s
}

// CurlCommand returns a curl command that streams an answer from the instance with the given
// callers' address.
func (p *Platform) CurlCommand(callers string) string {
	body, err := json.Marshal(map[string]any{
		"model": "pisar-small", "stream": true, "max_tokens": 24,
		"messages": []map[string]string{{"role": "user", "content": "Summarise the night rota of the seal house."}},
	})
	if err != nil {
		return ""
	}
	return "curl -sN http://" + callers + "/v1/chat/completions -H 'Authorization: Bearer " + p.Key +
		"' -H 'Content-Type: application/json' -d '" + string(body) + "'"
}

func generateKey() string {
	var raw [16]byte
	_, _ = rand.Read(raw[:]) // never returns an error: crypto/rand crashes the program instead
	return "cw-" + hex.EncodeToString(raw[:])
}
