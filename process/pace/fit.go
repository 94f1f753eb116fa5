package pace

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	// quantile is the share of requests that take no longer than their bound.
	quantile = 0.999
	// priorDeviation and priorDegrees are the standard deviation of the logarithm of a time and its degrees
	// of freedom that are assumed beside the requests seen.
	priorDeviation = 0.4
	priorDegrees   = 3
	// priorSpread is the sum of squared deviations of sizes for which times are assumed to be
	// proportional to sizes, beside the requests seen.
	priorSpread = 0.5
)

// fit is a linear regression of y on x.
type fit struct {
	n                float64
	x, y, xx, xy, yy float64 // sums
}

func (f *fit) add(x, y float64) {
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
	f.yy += y * y
}

func (f *fit) merge(o fit) {
	f.n += o.n
	f.x += o.x
	f.y += o.y
	f.xx += o.xx
	f.xy += o.xy
	f.yy += o.yy
}

// line returns the means, the sum of squared deviations of x with the prior's, and the slope. f.n must not be 0.
func (f *fit) line() (meanX, meanY, spread, slope float64) {
	meanX, meanY = f.x/f.n, f.y/f.n
	spread = max(0, f.xx-f.n*meanX*meanX) + priorSpread
	slope = (f.xy - f.n*meanX*meanY + priorSpread) / spread
	return meanX, meanY, spread, slope
}

// predict returns the expected y at x.
func (f *fit) predict(x float64) float64 {
	meanX, meanY, _, slope := f.line()
	return meanY + slope*(x-meanX)
}

// upper returns the quantile for the next y at x.
func (f *fit) upper(x float64) float64 {
	meanX, meanY, spread, slope := f.line()
	xx, xy, yy := f.xx-f.n*meanX*meanX, f.xy-f.n*meanX*meanY, f.yy-f.n*meanY*meanY
	degrees := priorDegrees + f.n - 1
	variance := (priorDegrees*priorDeviation*priorDeviation + max(0, yy-2*slope*xy+slope*slope*xx)) / degrees
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degrees}.Quantile(quantile)
	distance := x - meanX
	return meanY + slope*distance + t*math.Sqrt(variance*(1+1/f.n+distance*distance/spread))
}
