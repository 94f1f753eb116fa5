package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// An answer is slow from the old version's median on times slowFactor times the ratio of
	// the 84th percentile to the median, but at least minSlow and at most maxSlow times the
	// median. Bad versions are about 8 times slower; uncached prompts make first bytes 2 to
	// 3 times slower, and in a wide distribution many of these take long.
	slowFactor = 3
	upperPart  = 0.84
	minSlow    = 4
	maxSlow    = 7
	// minBad is the number of bad answers below which nothing is a verdict.
	minBad = 6
	// minCompared is the number of answers that a verdict for slow ones needs. Among fewer,
	// prompts that happen to be long were taken for a slow version.
	minCompared = 24
	// The excess of failed or slow answers, as a share of the answers, up to which a
	// version is not bad. Half of the answers of a bad version are bad; while prompts are
	// uncached, a tenth of those of a sound one are slow.
	failureMargin = 0.1
	slowMargin    = 0.2
	// chance is how many standard deviations lie between the versions at a verdict. It is
	// large because all routers look several times a second.
	chance = 5
	// marginChance is the same for the distance of the excess from the margin.
	marginChance = 2.5
	// lateChance replaces chance in the coordinator's last looks before the ramp. There,
	// lateMarginChance replaces marginChance at half of the time limit, heldMarginChance when
	// the version was held back after that. With 0.7 for both, 2 of 200 simulated sound
	// versions with uncached prompts were condemned; with 1.5, 2 of 1,120 bad ones were missed.
	lateChance       = 4
	lateMarginChance = 1.2
	heldMarginChance = 0.6
	// suspectBad and suspectChance are the number of bad answers and the deviation that
	// keep a version with little evidence in the canary stage for longer.
	suspectBad    = 3
	suspectChance = 3
	// suspectMargin is the part of the margin that the excess must reach for that.
	suspectMargin = 0.7
	// minBeside is the number of answers beside the old version from which on a version is judged by these alone.
	minBeside = 20
	// enoughAnswers is the number of answers from which on an endpoint is judged.
	enoughAnswers = 4
	// loadedShare is the part of the most answers of an endpoint from which on an endpoint counts as one
	// of the load test.
	loadedShare = 0.5
	// loadTestMargin replaces failureMargin during the load test, in which a version may fail only while an
	// endpoint happens to run many requests.
	loadTestMargin = 0.02
	// recent is the time of the second comparison, so that a version that turns bad late is
	// not measured by its good answers before.
	recent = 3 * time.Second
)

// kind is what makes answers bad.
type kind int

const (
	failures kind = iota
	slowFirstByte
	slowTotal
	kinds
)

// margin returns the share of bad answers that is not a verdict.
func (k kind) margin() float64 {
	if k == failures {
		return failureMargin
	}
	return slowMargin
}

// String describes bad answers of the kind, for the reason of a verdict.
func (k kind) String() string {
	return [...]string{"failed", "had a slow first byte", "were slow"}[k]
}

// comparison sums the strata of one comparison by the method of Mantel and Haenszel. A
// stratum is a route in a zone in one slice of time.
type comparison struct {
	answers, bad, oldAnswers, oldBad float64
	excess, variance, weight         float64
}

// add takes a stratum.
func (c *comparison) add(s stratum) {
	if s.n1 <= 0 || s.n0 <= 0 {
		return // without answers of the old version there is nothing to compare with
	}
	n := s.n1 + s.n0
	p := (s.x1 + s.x0) / n
	weight := s.n1 * s.n0 / n
	c.answers += s.n1
	c.bad += s.x1
	c.oldAnswers += s.n0
	c.oldBad += s.x0
	c.excess += s.x1 - s.n1*p
	c.variance += weight * p * (1 - p)
	c.weight += weight
}

// share returns the excess of bad answers as a share of the answers.
func (c *comparison) share() float64 {
	if c.weight == 0 {
		return 0
	}
	return c.excess / c.weight
}

// deviations returns the excess in standard deviations if both versions were equal.
func (c *comparison) deviations() float64 {
	if c.variance == 0 {
		return 0
	}
	return c.excess / math.Sqrt(c.variance)
}

// overMargin returns the distance of the excess from the margin in standard deviations.
func (c *comparison) overMargin(margin float64) float64 {
	if c.answers == 0 {
		return 0
	}
	p1, p0 := c.bad/c.answers, c.oldBad/c.oldAnswers
	return (c.share() - margin) / math.Sqrt(p1*(1-p1)/c.answers+p0*(1-p0)/c.oldAnswers+1e-9)
}

// finding is the result of judging a tally.
type finding struct {
	bad     bool // enough for a verdict at any time
	lateBad bool // enough for a verdict at half of the time limit
	heldBad bool // enough for a verdict at the end of the canary stage
	suspect bool // reason to wait for more evidence
	reason  string
}

// judge compares the versions as a whole and by route, over the whole order and over the
// recent past. canary is the number of endpoints that the canary stage uses.
func (t *tally) judge(now time.Time, canary int, loadTest bool) finding {
	var f finding
	for k := range kinds {
		shown := t.shown(k, canary, loadTest)
		margin, needed := k.margin(), marginChance
		if loadTest && k == failures {
			margin, needed = loadTestMargin, 0
		}
		whole, late, routes := t.compare(k, now.Add(-max(recent, t.length)))
		for n, list := range [...][]comparison{whole, late} {
			for i := range list {
				c := &list[i]
				if c.bad < suspectBad || c.share() < suspectMargin*margin || c.deviations() < suspectChance {
					continue
				}
				f.suspect = true
				over := c.overMargin(margin)
				few := c.bad < minBad || k != failures && c.answers < minCompared
				if few || !shown || c.deviations() < lateChance || over < min(heldMarginChance, needed) {
					continue
				}
				bad := c.deviations() >= chance && over >= needed
				if n > 0 && !bad {
					continue // the recent past alone has too few answers for the last look
				}
				if f.reason == "" || bad && !f.bad {
					f.reason = reason(k, routes[i], c)
				}
				f.heldBad = true
				f.lateBad = f.lateBad || over >= lateMarginChance
				f.bad = f.bad || bad
			}
		}
	}
	return f
}

// reason describes a comparison.
func reason(k kind, route string, c *comparison) string {
	if route != "" {
		route = " on route " + route
	}
	return fmt.Sprintf("%.0f of %.0f answers%s %v, %.1f of 100 of the other versions",
		c.bad, c.answers, route, k, 100*c.oldBad/c.oldAnswers)
}

// limits holds the times in ms from which on answers are slow, by kind; 0: unknown.
type limits [kinds]float64

// slowLimit returns the limit for answers that are compared with those in h.
func (h *Histogram) slowLimit() float64 {
	median := h.quantile(0.5)
	if median == 0 {
		return 0
	}
	return median * min(maxSlow, max(minSlow, slowFactor*h.quantile(upperPart)/median))
}

// slowLimits returns the limits by cell key, from the old version's answers. All routers
// take them from the same counts, and apply them to answers of both versions.
func (t *tally) slowLimits() map[string]limits {
	m := make(map[string]limits, len(t.keys))
	for _, key := range t.keys {
		c := &t.total[key][oldVersion]
		m[key] = limits{slowFirstByte: c.FirstByte.slowLimit(), slowTotal: c.Total.slowLimit()}
	}
	return m
}

// besideOld returns the number of the new version's answers in slices of time with as many answers of the old one.
func (t *tally) besideOld() int {
	n := 0
	for _, key := range t.keys {
		for _, s := range t.slices {
			if cells := s.cells[key]; cells != nil {
				n += min(cells[newVersion].Answers, cells[oldVersion].Answers)
			}
		}
	}
	return n
}

// compare returns the comparisons of the whole order and of the time since late: the first
// one of all answers, then one for each route if there are several.
func (t *tally) compare(k kind, late time.Time) (whole, recent []comparison, routes []string) {
	whole, recent, routes = []comparison{{}}, []comparison{{}}, []string{""}
	// A version without answers beside the old one is judged in the complete stage by the old version's whole rate of
	// failures. Otherwise errors that begin then, and that both would have, would condemn it.
	unseen := k == failures && t.besideOld() < minBeside
	for _, key := range t.keys {
		route := routeOf(key)
		i := 1 + slices.Index(routes[1:], route)
		if i == 0 {
			i = len(routes)
			whole, recent, routes = append(whole, comparison{}), append(recent, comparison{}), append(routes, route)
		}
		for _, s := range t.slices {
			cells := s.cells[key]
			if cells == nil {
				continue
			}
			x := stratumOf(k, cells)
			if old := &t.total[key][oldVersion]; unseen {
				x.n0, x.x0 = float64(old.Answers), float64(old.Failures)
			}
			whole[0].add(x)
			whole[i].add(x)
			if !s.start.Add(t.length).Before(late) {
				recent[0].add(x)
				recent[i].add(x)
			}
		}
	}
	if len(routes) == 2 {
		return whole[:1], recent[:1], routes[:1]
	}
	return whole, recent, routes
}

// stratum holds the answers and the bad ones among them, of the new and the old version.
type stratum struct{ n1, x1, n0, x0 float64 }

// stratumOf returns the stratum of a kind.
func stratumOf(k kind, cells *[versions]Cell) stratum {
	a, b := &cells[newVersion], &cells[oldVersion]
	if k == failures {
		return stratum{float64(a.Answers), float64(a.Failures), float64(b.Answers), float64(b.Failures)}
	}
	i := 2 * int(k-slowFirstByte)
	return stratum{float64(a.Compared[i]), float64(a.Compared[i+1]), float64(b.Compared[i]), float64(b.Compared[i+1])}
}

// shown reports whether most of the endpoints show bad answers of the kind, so that a few
// faulty endpoints do not condemn the version. Canary endpoints without an answer count as
// sound, because faulty ones often answer first.
func (t *tally) shown(k kind, canary int, loadTest bool) bool {
	answers, bad := 0, 0
	for _, c := range t.endpoints {
		answers += c[0]
		bad += c[k.index()]
	}
	if bad == 0 {
		return false
	}
	common := 0.0 // bad answers that the old version has as well
	if k == failures {
		var old Cell
		for _, cells := range t.total {
			old.add(&cells[oldVersion], new(Cell))
		}
		common = float64(old.Failures) / float64(max(old.Answers, 1))
	}
	threshold := common + (float64(bad)/float64(answers)-common)/2
	// Endpoints with very few answers are those that joined just now.
	known, showing := t.showing(k, threshold, float64(answers)/float64(3*len(t.endpoints)))
	if 2*showing > max(known, canary) {
		return true
	}
	if !loadTest {
		return false
	}
	// The endpoints of the load test have most of the answers and may be the only ones that fail. They are so few
	// that all of them have to.
	most := 0
	for _, c := range t.endpoints {
		most = max(most, c[0])
	}
	known, showing = t.showing(k, threshold, loadedShare*float64(most))
	return showing == known && showing >= min(minCanaryEndpoints, canary)
}

// showing counts the endpoints with at least the given number of answers, and those of them that
// show bad answers of the kind.
func (t *tally) showing(k kind, threshold, least float64) (known, showing int) {
	for _, c := range t.endpoints {
		if c[0] == 0 || float64(c[0]) < least {
			continue
		}
		known++
		if c[0] >= enoughAnswers && float64(c[k.index()]) >= max(threshold*float64(c[0]), 1) {
			showing++
		}
	}
	return known, showing
}

// index returns the index in EndpointCounts.
func (k kind) index() int {
	if k == failures {
		return 1
	}
	return 2
}
