package rollout

import (
	"slices"
	"strings"
	"time"
)

const (
	// sliceLength is the shortest time over which answers are compared. Faults that both
	// versions share come and go while the share of the ordered version changes, so only
	// answers of the same time are compared.
	sliceLength = time.Second
	// maxSlices bounds the slices of an order; those of a long time limit are longer.
	maxSlices = 24
	// maxCells bounds the cells that a router counts or takes from others.
	maxCells = 128
	// maxEndpoints bounds the endpoints that a router counts, for the size of heartbeats.
	// Each router meets others, so the fleet's sum covers them all.
	maxEndpoints = 24
	// maxEndpointsTaken bounds the endpoints in the sum over all routers.
	maxEndpointsTaken = 4096
)

// Indexes of versions in a tally.
const (
	oldVersion = iota
	newVersion
	versions
)

// versionDigits starts a key of Counts.Cells.
const versionDigits = "01"

// cellKey returns the key of Counts.Cells without the version.
func cellKey(zone, route string) string {
	return strings.ReplaceAll(zone, "/", "_") + "/" + route
}

// routeOf returns the route of a cell key.
func routeOf(key string) string {
	_, route, _ := strings.Cut(key, "/")
	return route
}

// add adds the difference of two states of cumulative counts.
func (c *Cell) add(now, before *Cell) {
	c.Answers += now.Answers - before.Answers
	c.Failures += now.Failures - before.Failures
	for i := range c.FirstByte {
		c.FirstByte[i] += now.FirstByte[i] - before.FirstByte[i]
		c.Total[i] += now.Total[i] - before.Total[i]
	}
	for i := range c.Compared {
		c.Compared[i] += now.Compared[i] - before.Compared[i]
	}
}

// within reports whether no count of c exceeds that of d, and none is negative.
func (c *Cell) within(d *Cell) bool {
	for i := range c.FirstByte {
		if c.FirstByte[i] < 0 || c.Total[i] < 0 || c.FirstByte[i] > d.FirstByte[i] || c.Total[i] > d.Total[i] {
			return false
		}
	}
	for i := range c.Compared {
		if c.Compared[i] < 0 || c.Compared[i] > d.Compared[i] {
			return false
		}
	}
	return c.Answers >= 0 && c.Failures >= 0 && c.Answers <= d.Answers && c.Failures <= d.Failures
}

// slice holds the answers of the fleet that became known within one time.
type slice struct {
	start time.Time
	cells map[string]*[versions]Cell
}

// tally sums the counts of all routers for one order.
type tally struct {
	length    time.Duration
	slices    []*slice
	total     map[string]*[versions]Cell
	keys      []string // of total, sorted
	endpoints map[string]EndpointCounts
	requests  int
	canary    int
}

// newTally returns an empty tally of an order with the time limit.
func newTally(limit time.Duration) *tally {
	return &tally{
		length:    max(sliceLength, limit/(maxSlices-4)),
		total:     map[string]*[versions]Cell{},
		endpoints: map[string]EndpointCounts{},
	}
}

// current returns the slice for now. The oldest one is dropped if there are too many; its
// answers stay in the total.
func (t *tally) current(now time.Time) *slice {
	if n := len(t.slices); n > 0 && now.Before(t.slices[n-1].start.Add(t.length)) {
		return t.slices[n-1]
	}
	if len(t.slices) == maxSlices {
		t.slices = slices.Delete(t.slices, 0, 1)
	}
	s := &slice{start: now, cells: map[string]*[versions]Cell{}}
	t.slices = append(t.slices, s)
	return s
}

// cell returns the cells of a key in the current slice and in the total; nil if there
// are too many keys.
func (t *tally) cell(now time.Time, key string) (part, total *[versions]Cell) {
	total = t.total[key]
	if total == nil {
		if len(t.total) >= maxCells {
			return nil, nil
		}
		total = new([versions]Cell)
		t.total[key] = total
		i, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, i, key)
	}
	s := t.current(now)
	c := s.cells[key]
	if c == nil {
		c = new([versions]Cell)
		s.cells[key] = c
	}
	return c, total
}

// merge adds what a router counted since its counts before. It returns false, and adds
// nothing, if the counts are older than those before or malformed.
func (t *tally) merge(now time.Time, counts, before *Counts) bool {
	if !before.within(counts) {
		return false
	}
	t.requests += counts.Requests - before.Requests
	t.canary += counts.Canary - before.Canary
	for key, c := range counts.Cells {
		b := before.Cells[key]
		if b == nil {
			b = new(Cell)
		}
		if *c == *b {
			continue
		}
		version := strings.IndexByte(versionDigits, key[0])
		if part, total := t.cell(now, key[1:]); part != nil {
			part[version].add(c, b)
			total[version].add(c, b)
		}
	}
	for key, c := range counts.Endpoints {
		b, sum := before.Endpoints[key], t.endpoints[key]
		if _, known := t.endpoints[key]; !known && len(t.endpoints) >= maxEndpointsTaken {
			continue
		}
		for i := range sum {
			sum[i] += c[i] - b[i]
		}
		t.endpoints[key] = sum
	}
	return true
}

// within reports whether c is an earlier state of the well-formed counts d.
func (c *Counts) within(d *Counts) bool {
	if c.Requests > d.Requests || c.Canary > d.Canary || c.Requests < 0 || c.Canary < 0 ||
		len(d.Cells) > 2*maxCells || len(d.Endpoints) > maxEndpoints {
		return false
	}
	for key, cell := range d.Cells {
		if len(key) < 2 || strings.IndexByte(versionDigits, key[0]) < 0 || cell == nil || !new(Cell).within(cell) {
			return false
		}
	}
	for key, cell := range c.Cells {
		if n := d.Cells[key]; n == nil || !cell.within(n) {
			return false
		}
	}
	for _, counts := range d.Endpoints {
		if slices.Min(counts[:]) < 0 {
			return false
		}
	}
	for key, counts := range c.Endpoints {
		n, ok := d.Endpoints[key]
		for i := range counts {
			ok = ok && counts[i] <= n[i]
		}
		if !ok {
			return false
		}
	}
	return true
}

// evidence summarizes the tally.
func (t *tally) evidence() Evidence {
	var sums [versions]Cell
	for _, cells := range t.total {
		for v := range sums {
			sums[v].add(&cells[v], new(Cell))
		}
	}
	summary := func(c *Cell) Summary {
		return Summary{Answers: c.Answers, Failures: c.Failures, FirstByteMS: c.FirstByte.quantile(0.5), MedianMS: c.Total.quantile(0.5)}
	}
	return Evidence{Ordered: summary(&sums[newVersion]), Others: summary(&sums[oldVersion]), Requests: t.requests, Canary: t.canary}
}
