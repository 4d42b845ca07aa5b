package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cairnworks/cairnworks/stand"
)

// Evidence holds the statistics of the stand-ins before and after a run.
type Evidence struct {
	Before, After StandIns
	// Idle is set if no engine held a stream by the end of the scenario's SettleTimeout.
	Idle bool
}

// StandIns holds the statistics of each stand-in that responded, by address.
type StandIns struct {
	Engines       map[string]*stand.EngineStats
	PlainServices map[string]*stand.PlainStats
	// Unreachable lists the addresses whose statistics could not be read.
	Unreachable []string
}

const (
	statsTimeout     = 10 * time.Second
	idlePollInterval = 250 * time.Millisecond
)

func readStandIns(ctx context.Context, s *Scenario) StandIns {
	out := StandIns{Engines: map[string]*stand.EngineStats{}, PlainServices: map[string]*stand.PlainStats{}}
	for _, address := range s.Engines {
		stats := &stand.EngineStats{}
		if err := getJSON(ctx, address, stats); err != nil {
			out.Unreachable = append(out.Unreachable, address)
			continue
		}
		out.Engines[address] = stats
	}
	for _, address := range s.PlainServices {
		stats := &stand.PlainStats{}
		if err := getJSON(ctx, address, stats); err != nil {
			out.Unreachable = append(out.Unreachable, address)
			continue
		}
		out.PlainServices[address] = stats
	}
	return out
}

func getJSON(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/stats", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// waitUntilIdle waits until no engine holds a stream and reports whether that was within
// SettleTimeout.
func waitUntilIdle(ctx context.Context, s *Scenario) bool {
	for end := time.Now().Add(s.SettleTimeout.Duration); ; {
		if readStandIns(ctx, s).heldStreams() == 0 {
			return true
		}
		if time.Now().After(end) || !sleep(ctx, idlePollInterval) {
			return false
		}
	}
}

func (s StandIns) heldStreams() int {
	held := 0
	for _, engine := range s.Engines {
		held += engine.Held
	}
	return held
}

// engineRuns returns the number of prefills and decodes of a request over all engines.
func (s StandIns) engineRuns(requestID string) int {
	runs := 0
	for _, engine := range s.Engines {
		if r := engine.Requests[requestID]; r != nil {
			runs += r.Prefills + r.Decodes
		}
	}
	return runs
}

func (s StandIns) callsByRequestID(requestID string) int {
	runs := 0
	for _, plain := range s.PlainServices {
		runs += plain.ByRequestID[requestID]
	}
	return runs
}

func (s StandIns) callsByIdempotencyKey(key string) int {
	runs := 0
	for _, plain := range s.PlainServices {
		runs += plain.ByIdempotencyKey[key]
	}
	return runs
}

func (s StandIns) callsByCallKey(call string) int {
	runs := 0
	for _, plain := range s.PlainServices {
		runs += plain.ByCall[call]
	}
	return runs
}

// prefillTotals returns the prefill work of all engines in tokens, the wasted part of it, and the
// number of wasted prefills.
func (s StandIns) prefillTotals() (tokens, wasted, wastedCount int) {
	for _, engine := range s.Engines {
		tokens += engine.PrefillTokens
		wasted += engine.WastedPrefillTokens
		wastedCount += engine.WastedPrefills
	}
	return tokens, wasted, wastedCount
}

// recentCalls returns the headers of the last calls that each stand-in received, by address.
func (s StandIns) recentCalls() map[string][]stand.SeenCall {
	out := map[string][]stand.SeenCall{}
	for address, engine := range s.Engines {
		out[address] = engine.Seen
	}
	for address, plain := range s.PlainServices {
		out[address] = plain.Seen
	}
	return out
}
