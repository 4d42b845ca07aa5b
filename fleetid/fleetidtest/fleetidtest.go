// Package fleetidtest gives tests verifiers whose fleet's id is known, or cannot be.
package fleetidtest

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cairnworks/cairnworks/fleetid"
)

// store holds one id; 0 cannot be reached.
type store fleetid.ID

// Load implements fleetid.Store.
func (s store) Load(context.Context) (fleetid.ID, error) {
	if s == 0 {
		return 0, errors.New("the log is down")
	}
	return fleetid.ID(s), nil
}

// Verifier returns a verifier of a fleet's identity. With id 0 it has not read the id.
func Verifier(t testing.TB, id fleetid.ID, name string) *fleetid.Verifier {
	t.Helper()
	k := fleetid.NewVerifier(fleetid.VerifierConfig{Store: store(id), Name: name, Logger: zap.NewNop()})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = k.Run(ctx) }()
	for id != 0 && k.Identity().ID == 0 {
		time.Sleep(time.Millisecond)
	}
	return k
}
