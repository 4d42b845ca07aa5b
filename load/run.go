package load

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// minRetryDelay is the delay before a retry if the error gives none.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay bounds the delay before a retry.
	maxRetryDelay = 5 * time.Second
)

// Run executes the scenario and returns its report. The run's name is part of prompts and
// idempotency keys, so that a run does not receive stored answers of another.
func Run(ctx context.Context, s *Scenario, run string) (*Report, error) {
	tasks := Schedule(s)
	before := readStandIns(ctx, s)
	d := &driver{scenario: s, sender: newSender(s, run, time.Now())}
	defer d.sender.client.CloseIdleConnections()
	faultsCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	go d.injectFaults(faultsCtx)
	monitor := monitorProcesses(s.Processes)
	results := d.runTasks(ctx, tasks)
	duration := d.sender.elapsed()
	usages := monitor.stop()
	stopFaults()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	idle := waitUntilIdle(ctx, s)
	after := readStandIns(ctx, s)
	return newReport(s, run, results, duration, usages, Evidence{Before: before, After: after, Idle: idle}), nil
}

type driver struct {
	scenario *Scenario
	sender   *sender
	mu       sync.Mutex
	results  []*Result
}

// runTasks starts each task at its arrival time, regardless of earlier ones, and waits for all.
func (d *driver) runTasks(ctx context.Context, tasks []*Task) []*Result {
	var inFlight sync.WaitGroup
	for _, task := range tasks {
		if !sleepUntil(ctx, d.sender.startedAt.Add(task.Arrival)) {
			break
		}
		inFlight.Go(func() { d.addResult(d.runTask(ctx, task)) })
	}
	inFlight.Wait()
	return d.results
}

func (d *driver) addResult(r *Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, r)
}

// runTask sends a task, its scheduled resend and its retries.
func (d *driver) runTask(ctx context.Context, task *Task) *Result {
	startDelay := d.sender.elapsed() - task.Arrival
	p, result := d.sender.prepare(task)
	result.StartDelay = startDelay
	resends := make(chan []*Attempt, 1)
	go func() { resends <- d.resend(ctx, task, p) }()
	instance := d.sendAttempt(ctx, p, result, task.InstanceIndex, task.CancelAfter)
	for range task.Kind.Retries {
		last := result.Attempts[len(result.Attempts)-1]
		if !last.shouldRetry() || !sleep(ctx, min(max(last.RetryAfter, minRetryDelay), maxRetryDelay)) {
			break
		}
		instance = d.sendAttempt(ctx, p, result, instance+1, 0)
	}
	result.Attempts = append(result.Attempts, <-resends...)
	return result
}

// sendAttempt sends a request to an instance. While the instance is unreachable, it tries the next
// one, as the platform's load balancer would. It returns the index of the last instance tried.
func (d *driver) sendAttempt(ctx context.Context, p payload, result *Result, instance int, cancelAfter time.Duration) int {
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

// resend sends the scheduled second copy of a call to another instance.
func (d *driver) resend(ctx context.Context, task *Task, p payload) []*Attempt {
	if task.ResendAfter == 0 || task.Kind.Form != FormCall || !sleep(ctx, task.ResendAfter) {
		return nil
	}
	second := &Result{Task: task}
	d.sendAttempt(ctx, p, second, task.InstanceIndex+1, 0)
	return second.Attempts
}

// shouldRetry reports whether a caller would retry after this attempt.
func (a *Attempt) shouldRetry() bool {
	switch a.Outcome {
	case OutcomeRefused, OutcomeFailed:
		return a.Retryable
	case OutcomeDisconnected, OutcomeTruncated, OutcomeUnreachable:
		return true
	default:
		return false
	}
}

// spinDuration is the final part of a wait, spent in a busy loop that yields: a kernel timer may
// fire up to a millisecond late, which would bunch arrivals.
const spinDuration = time.Millisecond

func sleepUntil(ctx context.Context, t time.Time) bool {
	if !sleep(ctx, time.Until(t)-spinDuration) {
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
