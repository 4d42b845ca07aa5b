package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cairnworks/cairnworks/stand"
)

// Evidence is what the stand-ins saw, by address, before and after a run.
type Evidence struct {
	Before, After StandIns
	// Settled is set when every engine came to hold nothing in time.
	Settled bool
}

// StandIns holds the stats of each stand-in that answered.
type StandIns struct {
	Engines map[string]*stand.EngineStats
	Plains  map[string]*stand.PlainStats
	// Missing lists the addresses that did not answer; what they saw is unknown.
	Missing []string
}

const (
	statsTimeout = 10 * time.Second
	settlePoll   = 250 * time.Millisecond
)

func readStandIns(ctx context.Context, s *Scenario) StandIns {
	out := StandIns{Engines: map[string]*stand.EngineStats{}, Plains: map[string]*stand.PlainStats{}}
	for _, address := range s.Engines {
		stats := &stand.EngineStats{}
		if err := getJSON(ctx, address, stats); err != nil {
			out.Missing = append(out.Missing, address)
			continue
		}
		out.Engines[address] = stats
	}
	for _, address := range s.PlainServices {
		stats := &stand.PlainStats{}
		if err := getJSON(ctx, address, stats); err != nil {
			out.Missing = append(out.Missing, address)
			continue
		}
		out.Plains[address] = stats
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

// waitSettled waits until no engine holds anything.
func waitSettled(ctx context.Context, s *Scenario) bool {
	for end := time.Now().Add(s.Settle.Duration); ; {
		if readStandIns(ctx, s).held() == 0 {
			return true
		}
		if time.Now().After(end) || !sleep(ctx, settlePoll) {
			return false
		}
	}
}

func (s StandIns) held() int {
	held := 0
	for _, engine := range s.Engines {
		held += engine.Held
	}
	return held
}

// engineRuns counts prefills and decodes of a request over all engines.
func (s StandIns) engineRuns(requestID string) int {
	runs := 0
	for _, engine := range s.Engines {
		if r := engine.Requests[requestID]; r != nil {
			runs += r.Prefills + r.Decodes
		}
	}
	return runs
}

func (s StandIns) callsByRequest(requestID string) int {
	runs := 0
	for _, plain := range s.Plains {
		runs += plain.ByRequestID[requestID]
	}
	return runs
}

func (s StandIns) callsByKey(key string) int {
	runs := 0
	for _, plain := range s.Plains {
		runs += plain.ByIdempotencyKey[key]
	}
	return runs
}

func (s StandIns) callsByCall(call string) int {
	runs := 0
	for _, plain := range s.Plains {
		runs += plain.ByCall[call]
	}
	return runs
}

// prefill sums up the prefill work in tokens, and how much of it was wasted.
func (s StandIns) prefill() (tokens, wasted, wastedCount int) {
	for _, engine := range s.Engines {
		tokens += engine.PrefillTokens
		wasted += engine.WastedPrefillTokens
		wastedCount += engine.WastedPrefills
	}
	return tokens, wasted, wastedCount
}

// seen returns the headers of the last calls at every stand-in.
func (s StandIns) seen() map[string][]stand.SeenCall {
	out := map[string][]stand.SeenCall{}
	for address, engine := range s.Engines {
		out[address] = engine.Seen
	}
	for address, plain := range s.Plains {
		out[address] = plain.Seen
	}
	return out
}
