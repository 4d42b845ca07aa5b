package group

import (
	"time"

	"github.com/cairnworks/cairnworks/object"
)

// Config sets a group up. Zero fields take the defaults below.
type Config struct {
	// Kind of the service; empty means model.
	Kind object.Kind
	// FirstGrantID is the first grant id to use. A new scheduler starts above
	// every id that its predecessors gave, so that a late release of an old grant
	// cannot free a new one.
	FirstGrantID uint64
	// FirstToken is the target from arrival to first token.
	FirstToken time.Duration
	// BetweenTokens is the target between tokens.
	BetweenTokens time.Duration
}

// Targets of the product: first token in 1.7 s and 53 ms between tokens, for 95
// requests in 100.
const (
	DefaultFirstToken    = 1700 * time.Millisecond
	DefaultBetweenTokens = 53 * time.Millisecond
)

// defaultPieceTokens is the piece size of the platform's engines.
const defaultPieceTokens = 2048

func (c Config) withDefaults() Config {
	if c.Kind == "" {
		c.Kind = object.KindModel
	}
	if c.FirstGrantID == 0 {
		c.FirstGrantID = 1
	}
	if c.FirstToken == 0 {
		c.FirstToken = DefaultFirstToken
	}
	if c.BetweenTokens == 0 {
		c.BetweenTokens = DefaultBetweenTokens
	}
	return c
}
