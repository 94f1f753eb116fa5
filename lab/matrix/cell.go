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
	faults  []trouble

	begun sync.Once

	mu       sync.Mutex
	results  []string
	gots     []Got
	broken   []string
	accepted bool
}

// Cell is the outcome of one cell.
type Cell struct {
	Subject string   `json:"subject"`
	Step    string   `json:"step"`
	Faults  []string `json:"faults"`
	Got     []string `json:"got"`    // what callers and operators got
	Broken  []string `json:"broken"` // promises that did not hold
}

// at begins the faults if they belong to this step.
func (c *cell) at(step int) {
	if step != c.step {
		return
	}
	c.begun.Do(func() {
		for _, f := range c.faults {
			f.begin(c.ctx, c.bench)
		}
	})
}

// after comes to a step once d has passed.
func (c *cell) after(d time.Duration, step int) *conc.WaitGroup {
	var wg conc.WaitGroup
	wg.Go(func() {
		sleep(c.ctx, d)
		c.at(step)
	})
	return &wg
}

// got notes what a caller got.
func (c *cell) got(what string, g Got) {
	ran := c.bench.executions(g.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, what+": "+g.Text)
	c.gots = append(c.gots, g)
	if g.Run == outcome.RunNot && ran > 0 {
		c.broken = append(c.broken, fmt.Sprintf("%s was refused as not run (%s), but ran", g.Name, g.Text))
	}
	if g.Wrong {
		c.broken = append(c.broken, what+" got a wrong answer")
	}
}

func (c *cell) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// told notes what an operator was told.
func (c *cell) told(what string, err error) {
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
	c.results = append(c.results, what+": "+text)
}

// work sends a chat and a booking at the same time.
func (c *cell) work() {
	once, err := c.bench.probe.newBooking()
	if err != nil {
		c.fail("%v", err)
		return
	}
	chatEntry, bookEntry := c.bench.client(), c.bench.client()
	var wg conc.WaitGroup
	wg.Go(func() {
		got, _ := c.bench.probe.chat(c.ctx, chatEntry, "", nil, nil)
		c.got("chat", got)
	})
	wg.Go(func() { c.got("booking", newProbe("").book(c.ctx, bookEntry, once)) })
	wg.Wait()
}

// run runs the cell and compares what callers got with what really ran.
func (c *cell) run() Cell {
	violations := c.bench.fleet.Violations()
	c.subject.run(c)
	c.judge()
	if n := c.bench.fleet.Violations() - violations; n > 0 {
		c.fail("%d invariants violated: %s", n, c.bench.violations())
	}
	out := Cell{Subject: c.subject.name, Step: c.subject.steps[c.step], Got: c.results, Broken: c.broken}
	for _, f := range c.faults {
		out.Faults = append(out.Faults, f.name)
	}
	slices.Sort(out.Got)
	return out
}

// judge checks every request of the cell against the stand-ins' records.
func (c *cell) judge() {
	seen := make(map[string]bool)
	mayRun := make(map[string]bool) // some try was not refused as not run
	for _, g := range c.gots {
		mayRun[g.Name] = mayRun[g.Name] || g.Run != outcome.RunNot
	}
	for _, g := range c.gots {
		ran := c.bench.executions(g.Name)
		if c.isBooking(g.Name) && ran > 1 && !seen[g.Name] {
			c.broken = append(c.broken, fmt.Sprintf("%s ran %d times", g.Name, ran))
		}
		seen[g.Name] = true
		if !mayRun[g.Name] && ran > 0 {
			c.broken = append(c.broken, fmt.Sprintf("%s was refused as not run (%s), but ran later", g.Name, g.Text))
		}
		if g.Answered && ran == 0 {
			c.broken = append(c.broken, g.Name+" was answered, but never ran")
		}
	}
}

func (c *cell) isBooking(name string) bool {
	return c.bench.bookings(name) > 0
}

// executions returns how often the request with the caller's name was taken in
// by an endpoint.
func (b *bench) executions(name string) int {
	n := b.bookings(name)
	for _, e := range b.fleet.Site.Endpoints {
		if e.Engine != nil {
			n += e.Engine.ArrivalsByUser(name)
		}
	}
	return n
}

func (b *bench) bookings(name string) int {
	n := 0
	for _, e := range b.fleet.Site.Endpoints {
		if e.Service != nil {
			n += e.Service.ExecutionsByUser(name)
		}
	}
	return n
}

func (b *bench) violations() string {
	var all []string
	for _, r := range b.fleet.Routers {
		for _, v := range r.Node.Checker().Violations() {
			all = append(all, string(v.Name)+": "+v.Evidence)
		}
	}
	return strings.Join(all, "; ")
}
