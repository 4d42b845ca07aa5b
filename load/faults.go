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

// signals that a scenario may send. The processes were started by somebody else.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

// bringAboutFaults works through the scenario's faults until ctx ends.
func (d *driver) bringAboutFaults(ctx context.Context) {
	faults := slices.Clone(d.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At.Duration, b.At.Duration) })
	for _, fault := range faults {
		if !sleep(ctx, time.Until(d.sender.start.Add(fault.At.Duration))) {
			return
		}
		if err := bringAbout(ctx, fault); err != nil {
			// A fault that did not come about makes the run another one than was asked for.
			fmt.Fprintf(os.Stderr, "fault=%q at=%s error=%q\n", fault.Signal+fault.Process+fault.StandIn, fault.At, err)
		}
	}
}

func bringAbout(ctx context.Context, fault Fault) error {
	if fault.Process != "" {
		// Process id 0 would signal this program's own process group.
		if fault.PID <= 0 {
			return fmt.Errorf("the process id of %s is not known", fault.Process)
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
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
