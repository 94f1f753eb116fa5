package pace

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// quantile is the share of requests that take no longer than their bound.
	quantile = 0.999
	// likelyQuantile is the share of runs that are expected to take no longer once they have begun.
	likelyQuantile = 0.9
	// priorDeviation and priorDegrees are the standard deviation of the logarithm of a time and its degrees
	// of freedom that are assumed beside the requests seen.
	priorDeviation = 0.4
	priorDegrees   = 4
	// priorSpread is the sum of squared deviations of sizes for which times are assumed to be
	// proportional to sizes, beside the requests seen.
	priorSpread = 0.5
)

// point is a run: the logarithms of its size in tokens and of its time in nanoseconds.
type point struct {
	x, y     float64
	events   float64 // time from the first event to the end, as a share of its time
	prompt   int     // tokens
	complete bool
}

// slowed returns what the run would have been with the time of its events multiplied by slowdown.
func (p point) slowed(slowdown float64) point {
	p.y += math.Log1p(p.events * (slowdown - 1))
	return p
}

// line is a linear regression of y on x.
type line struct {
	n, meanX, meanY float64
	spread          float64 // of x, with the prior's
	slope           float64
	residuals       float64 // sum of squares
	worst           float64 // largest residual
	margin          float64 // between the expected y at meanX and its quantile, of many points
	likely          float64 // the same for likelyQuantile
	prompt          int     // tokens of the largest prompt of a complete run
}

// fitLine fits a line to points. It returns false if there are none.
func fitLine(points []point) (line, bool) {
	var l line
	if len(points) == 0 {
		return l, false
	}
	l.n = float64(len(points))
	for _, p := range points {
		l.meanX += p.x / l.n
		l.meanY += p.y / l.n
	}
	l.spread, l.slope = priorSpread, priorSpread
	for _, p := range points {
		l.spread += (p.x - l.meanX) * (p.x - l.meanX)
		l.slope += (p.x - l.meanX) * (p.y - l.meanY)
	}
	l.slope /= l.spread
	for _, p := range points {
		if p.complete {
			l.prompt = max(l.prompt, p.prompt)
		}
		residual := p.y - l.at(p.x)
		l.residuals += residual * residual
		l.worst = max(l.worst, residual)
	}
	degrees := priorDegrees + l.n - 1
	variance := (priorDegrees*priorDeviation*priorDeviation + l.residuals) / degrees
	deviations := distuv.StudentsT{Mu: 0, Sigma: math.Sqrt(variance), Nu: degrees}
	l.margin, l.likely = deviations.Quantile(quantile), deviations.Quantile(likelyQuantile)
	return l, true
}

// at returns the expected y at x.
func (l *line) at(x float64) float64 { return l.meanY + l.slope*(x-l.meanX) }

// upper returns the quantile for the next y at x.
func (l *line) upper(x float64) float64 {
	return l.at(x) + max(l.margin*l.widening(x), l.worst)
}

// likelyUpper returns the likelyQuantile for the next y at x.
func (l *line) likelyUpper(x float64) float64 { return l.at(x) + l.likely*l.widening(x) }

// widening returns the factor of a margin that stands for few points, and for an x unlike theirs.
func (l *line) widening(x float64) float64 {
	distance := x - l.meanX
	return math.Sqrt(1 + 1/l.n + distance*distance/l.spread)
}

// larger returns by how much a prompt of some tokens is larger than all that were seen, at least 1. A run
// takes at most that much longer.
func (l *line) larger(tokens int) float64 { return larger(tokens, l.prompt) }

// larger returns by how much a number of tokens is larger than the largest that was seen, at least 1.
func larger(tokens, seen int) float64 { return max(1, float64(tokens)/float64(max(1, seen))) }

// fit fits a line to the complete runs, and to those of the others that were longer than it tells, as they would be
// with a slowdown.
func fit(points []point, slowdown float64) (line, bool) {
	complete := make([]point, 0, len(points))
	for i, p := range points {
		p = p.slowed(slowdown)
		points[i] = p
		if p.complete {
			complete = append(complete, p)
		}
	}
	l, ok := fitLine(complete)
	if !ok || len(complete) == len(points) {
		return l, ok
	}
	for _, p := range points {
		if !p.complete && p.y > l.at(p.x) {
			complete = append(complete, p)
		}
	}
	return fitLine(complete)
}
