package matrix

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/stoatmount/stoatmount/connection/operator/api"
	"github.com/stoatmount/stoatmount/request/outcome"
)

// cell is one run of a subject with its faults at one step.
type cell struct {
	bench   *bench
	ctx     context.Context
	subject subject
	step    int
	faults  []injectedFault

	inject sync.Once

	mu            sync.Mutex
	observed      []string
	callerResults []CallerResult
	violations    []string
	accepted      bool
}

// CellResult is the result of one cell.
type CellResult struct {
	Subject    string   `json:"subject"`
	Step       string   `json:"step"`
	Faults     []string `json:"faults"`
	Observed   []string `json:"got"`    // results that callers and operators got
	Violations []string `json:"broken"` // violated guarantees
}

// injectAt injects the faults once if they belong to this step.
func (c *cell) injectAt(step int) {
	if step != c.step {
		return
	}
	c.inject.Do(func() {
		for _, f := range c.faults {
			f.begin(c.ctx, c.bench)
		}
	})
}

// injectAfter calls injectAt(step) in a goroutine once d has passed; the result waits for it.
func (c *cell) injectAfter(d time.Duration, step int) *conc.WaitGroup {
	var wg conc.WaitGroup
	wg.Go(func() {
		sleep(c.ctx, d)
		c.injectAt(step)
	})
	return &wg
}

// recordResult records the result of a caller's request.
func (c *cell) recordResult(what string, g CallerResult) {
	ran := c.bench.executions(g.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed = append(c.observed, what+": "+g.Text)
	c.callerResults = append(c.callerResults, g)
	if g.Run == outcome.RunNot && ran > 0 {
		c.violations = append(c.violations, fmt.Sprintf("%s was refused as not run (%s), but ran", g.Name, g.Text))
	}
	if g.Wrong {
		c.violations = append(c.violations, what+" got a wrong answer")
	}
}

func (c *cell) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordChange records the result of an operator's change.
func (c *cell) recordChange(what string, err error) {
	text := "accepted"
	var refusal *api.Refusal
	switch {
	case err == nil:
	case asRefusal(err, &refusal):
		text = fmt.Sprintf("%d %s", int(refusal.Code), refusal.Code)
	default:
		text = "no answer"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observed = append(c.observed, what+": "+text)
}

// sendChatAndBooking sends a chat and a booking at the same time.
func (c *cell) sendChatAndBooking() {
	booking, err := c.bench.probe.newBooking()
	if err != nil {
		c.addViolation("%v", err)
		return
	}
	chatEntry, bookEntry := c.bench.nextEntry(), c.bench.nextEntry()
	var wg conc.WaitGroup
	wg.Go(func() {
		got, _ := c.bench.probe.chat(c.ctx, chatEntry, "", nil, nil)
		c.recordResult("chat", got)
	})
	wg.Go(func() { c.recordResult("booking", newProbe("").sendBooking(c.ctx, bookEntry, booking)) })
	wg.Wait()
}

// run runs the cell and compares the callers' results with the executions.
func (c *cell) run() CellResult {
	violations := c.bench.fleet.Violations()
	c.subject.run(c)
	c.checkExecutions()
	if n := c.bench.fleet.Violations() - violations; n > 0 {
		c.addViolation("%d invariants violated: %s", n, c.bench.invariantViolations())
	}
	result := CellResult{Subject: c.subject.name, Step: c.subject.steps[c.step], Observed: c.observed, Violations: c.violations}
	for _, f := range c.faults {
		result.Faults = append(result.Faults, f.name)
	}
	slices.Sort(result.Observed)
	return result
}

// checkExecutions compares all requests of the cell with the recorded executions.
func (c *cell) checkExecutions() {
	seen := make(map[string]bool)
	mayRun := make(map[string]bool) // some attempt was not refused as not run
	for _, g := range c.callerResults {
		mayRun[g.Name] = mayRun[g.Name] || g.Run != outcome.RunNot
	}
	for _, g := range c.callerResults {
		ran := c.bench.executions(g.Name)
		if c.ranAsBooking(g.Name) && ran > 1 && !seen[g.Name] {
			c.violations = append(c.violations, fmt.Sprintf("%s ran %d times", g.Name, ran))
		}
		seen[g.Name] = true
		if !mayRun[g.Name] && ran > 0 {
			c.violations = append(c.violations, fmt.Sprintf("%s was refused as not run (%s), but ran later", g.Name, g.Text))
		}
		if g.Correct && ran == 0 {
			c.violations = append(c.violations, g.Name+" was answered, but never ran")
		}
	}
}

func (c *cell) ranAsBooking(name string) bool {
	return c.bench.bookingExecutions(name) > 0
}

// executions returns how often endpoints received the request with the caller's name.
func (b *bench) executions(name string) int {
	n := b.bookingExecutions(name)
	for _, e := range b.fleet.Site.Endpoints {
		if e.Engine != nil {
			n += e.Engine.ArrivalsByCallerRequestID(name)
		}
	}
	return n
}

func (b *bench) bookingExecutions(name string) int {
	n := 0
	for _, e := range b.fleet.Site.Endpoints {
		if e.Service != nil {
			n += e.Service.ExecutionsByCallerRequestID(name)
		}
	}
	return n
}

func (b *bench) invariantViolations() string {
	var all []string
	for _, r := range b.fleet.Routers {
		for _, v := range r.Node.Checker().Violations() {
			all = append(all, string(v.Name)+": "+v.Evidence)
		}
	}
	return strings.Join(all, "; ")
}
