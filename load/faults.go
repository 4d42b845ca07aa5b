package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"
)

// signals are the signals that a scenario may send.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// injectFaults injects the scenario's faults at their times until ctx is done.
func (d *driver) injectFaults(ctx context.Context) {
	faults := slices.Clone(d.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At.Duration, b.At.Duration) })
	for _, fault := range faults {
		if !sleep(ctx, time.Until(d.sender.startedAt.Add(fault.At.Duration))) {
			return
		}
		if err := injectFault(ctx, fault); err != nil {
			// The run continues, but without this fault it is not the run that was requested.
			fmt.Fprintf(os.Stderr, "fault=%q at=%s error=%q\n", fault.Signal+fault.Process+fault.StandIn, fault.At, err)
		}
	}
}

func injectFault(ctx context.Context, fault Fault) error {
	if fault.Process != "" {
		// kill(2) with process ID 0 signals the caller's own process group.
		if fault.PID <= 0 {
			return fmt.Errorf("the process ID of %s is unknown", fault.Process)
		}
		return syscall.Kill(fault.PID, signals[fault.Signal])
	}
	body, err := json.Marshal(fault.Faults)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+fault.StandIn+"/faults", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("setting faults at %s: status %d", fault.StandIn, resp.StatusCode)
	}
	return nil
}
