package load

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// shortestRetry spaces retries when an instance gives no time.
	shortestRetry = 100 * time.Millisecond
	// longestRetry bounds what a caller waits before it asks again.
	longestRetry = 5 * time.Second
)

// Run drives the scenario and returns its report. The run's name makes prompts
// and idempotency keys new, so that runs do not meet each other's answers.
func Run(ctx context.Context, s *Scenario, run string) (*Report, error) {
	tasks := Schedule(s)
	before := readStandIns(ctx, s)
	d := &driver{scenario: s, sender: newSender(s, run, time.Now())}
	defer d.sender.client.CloseIdleConnections()
	faultsCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	go d.bringAboutFaults(faultsCtx)
	watch := watchProcesses(s.Processes)
	results := d.drive(ctx, tasks)
	took := d.sender.now()
	uses := watch.stop()
	stopFaults()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	settled := waitSettled(ctx, s)
	after := readStandIns(ctx, s)
	return newReport(s, run, results, took, uses, Evidence{Before: before, After: after, Settled: settled}), nil
}

type driver struct {
	scenario *Scenario
	sender   *sender
	mu       sync.Mutex
	results  []*Result
}

// drive starts each task at its time, whatever became of earlier ones.
func (d *driver) drive(ctx context.Context, tasks []*Task) []*Result {
	var open sync.WaitGroup
	for _, task := range tasks {
		if !sleepUntil(ctx, d.sender.start.Add(task.At)) {
			break
		}
		open.Go(func() { d.keep(d.task(ctx, task)) })
	}
	open.Wait()
	return d.results
}

func (d *driver) keep(r *Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, r)
}

// task sends a task, its planned resend, and its retries.
func (d *driver) task(ctx context.Context, task *Task) *Result {
	late := d.sender.now() - task.At
	p, result := d.sender.prepare(task)
	result.Late = late
	resent := make(chan []*Attempt, 1)
	go func() { resent <- d.resend(ctx, task, p) }()
	instance := d.attempt(ctx, p, result, task.Instance, task.CancelAfter)
	for range task.Kind.Retries {
		last := result.Attempts[len(result.Attempts)-1]
		if !last.worthRetry() || !sleep(ctx, min(max(last.RetryAfter, shortestRetry), longestRetry)) {
			break
		}
		instance = d.attempt(ctx, p, result, instance+1, 0)
	}
	result.Attempts = append(result.Attempts, <-resent...)
	return result
}

// attempt sends once, and goes on to the next instance while none can be reached,
// as the platform's balancer would. It returns the instance that took it.
func (d *driver) attempt(ctx context.Context, p payload, result *Result, instance int, cancelAfter time.Duration) int {
	n := len(d.scenario.Instances)
	for range n {
		a := d.sender.send(ctx, p, instance%n, cancelAfter)
		result.Attempts = append(result.Attempts, a)
		if a.Outcome != OutcomeUnreachable {
			break
		}
		instance++
	}
	return instance
}

// resend sends the planned second copy of a call to another instance.
func (d *driver) resend(ctx context.Context, task *Task, p payload) []*Attempt {
	if task.ResendAfter == 0 || task.Kind.Form != FormCall || !sleep(ctx, task.ResendAfter) {
		return nil
	}
	copied := &Result{Task: task}
	d.attempt(ctx, p, copied, task.Instance+1, 0)
	return copied.Attempts
}

// worthRetry reports whether a caller would ask again.
func (a *Attempt) worthRetry() bool {
	switch a.Outcome {
	case OutcomeRefused, OutcomeFailed:
		return a.Retryable
	case OutcomeBroken, OutcomeCut, OutcomeUnreachable:
		return true
	default:
		return false
	}
}

// spinBefore is the part of a wait that is spent yielding, since a timer of the
// kernel may fire up to a millisecond late and arrivals must not bunch.
const spinBefore = time.Millisecond

func sleepUntil(ctx context.Context, t time.Time) bool {
	if !sleep(ctx, time.Until(t)-spinBefore) {
		return false
	}
	for time.Now().Before(t) {
		runtime.Gosched()
	}
	return true
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
