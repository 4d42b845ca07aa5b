// Package e2e builds the programs, runs them as processes on the loopback interface and checks the
// responses that callers receive.
package e2e

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout limits every wait for a condition. It is long because a loaded machine may be slow and
// no test asserts speed.
const waitTimeout = 60 * time.Second

var binaries struct {
	once sync.Once
	dir  string
	err  error
}

// TestMain runs the tests and removes the programs that they built.
func TestMain(m *testing.M) {
	code := m.Run()
	if binaries.dir != "" {
		_ = os.RemoveAll(binaries.dir)
	}
	os.Exit(code)
}

// buildPrograms compiles the programs once for all tests and returns their directory.
func buildPrograms(t testing.TB) string {
	t.Helper()
	binaries.once.Do(func() {
		binaries.dir, binaries.err = os.MkdirTemp("", "cairnworks-e2e-")
		if binaries.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", binaries.dir+"/", "../cmd/...").CombinedOutput()
		if err != nil {
			binaries.err = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if binaries.err != nil {
		t.Fatal(binaries.err)
	}
	return binaries.dir
}

// process is a running program and its output, which consists of lines of key=value pairs.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}

	mu    sync.Mutex
	lines []string
}

// startProcess runs a program until the end of the test.
func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(filepath.Join(buildPrograms(t), program), args...), done: make(chan struct{})}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = p.cmd.Stdout
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.read(bufio.NewScanner(out))
	t.Cleanup(func() {
		p.signal(syscall.SIGCONT)
		p.kill()
		if t.Failed() {
			t.Logf("--- %s\n%s", name, strings.Join(p.outputLines(), "\n"))
		}
	})
	return p
}

func (p *process) read(scanner *bufio.Scanner) {
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// outputLines returns the lines printed so far.
func (p *process) outputLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.lines...)
}

// outputField waits for a line that contains marker and returns the value of a key in it.
func (p *process) outputField(t testing.TB, marker, key string) string {
	t.Helper()
	var value string
	eventually(t, p.name+" prints "+marker, func() bool {
		for _, line := range p.outputLines() {
			if !strings.Contains(line, marker) {
				continue
			}
			for _, pair := range strings.Fields(line) {
				if v, ok := strings.CutPrefix(pair, key+"="); ok {
					value = strings.Trim(v, `"`)
					return true
				}
			}
		}
		return false
	})
	return value
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill terminates the process with SIGKILL and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// exitCode waits for the process to exit on its own and returns its exit code.
func (p *process) exitCode(t testing.TB) int {
	t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s did not exit within %v", p.name, waitTimeout)
		return -1
	}
}

// eventually waits for a condition and fails the test if it is not met within waitTimeout.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", waitTimeout, what)
		}
	}
}
