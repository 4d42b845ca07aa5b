// Package fleetidtest provides verifiers for tests, with or without a loaded fleet ID.
package fleetidtest

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/fleetid"
)

// store is a fleetid.Store with a fixed ID. If the ID is 0, Load fails.
type store fleetid.ID

// Load implements fleetid.Store.
func (s store) Load(context.Context) (fleetid.ID, error) {
	if s == 0 {
		return 0, errors.New("the log is down")
	}
	return fleetid.ID(s), nil
}

// Verifier returns a verifier that has loaded id, or that has no ID if id is 0.
func Verifier(t testing.TB, id fleetid.ID, name string) *fleetid.Verifier {
	t.Helper()
	v := fleetid.NewVerifier(fleetid.VerifierConfig{Store: store(id), Name: name, Logger: zap.NewNop()})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = v.Run(ctx) }()
	for id != 0 && v.Identity().ID == 0 {
		time.Sleep(time.Millisecond)
	}
	return v
}
