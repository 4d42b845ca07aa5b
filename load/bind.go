package load

import (
	"fmt"
	"os"
	"strings"

	"github.com/samber/oops"
)

// BindProcesses reads a file with a line "NAME PID" for each running process. It adds these to the
// processes to monitor and sets the process IDs of faults that name them.
func (s *Scenario) BindProcesses(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return oops.In("load").Wrap(err)
	}
	pids := map[string]int{}
	for line := range strings.Lines(string(data)) {
		var p Process
		if _, err := fmt.Sscan(line, &p.Name, &p.PID); err != nil {
			return oops.In("load").With("file", path, "line", line).Wrap(err)
		}
		pids[p.Name] = p.PID
		s.Processes = append(s.Processes, p)
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		if fault.Process == "" || fault.PID != 0 {
			continue
		}
		if fault.PID = pids[fault.Process]; fault.PID == 0 {
			return oops.In("load").Errorf("%s has no line for the process %s", path, fault.Process)
		}
	}
	return nil
}
