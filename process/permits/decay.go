package permits

import (
	"math"
	"time"
)

// decaying is a sum whose parts decay exponentially with a time constant.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(now time.Time, x float64, constant time.Duration) {
	d.sum = d.value(now, constant) + x
	if now.After(d.at) {
		d.at = now
	}
}

func (d *decaying) value(now time.Time, constant time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * decay(now.Sub(d.at), constant)
}

// decay returns the fraction that is left after a duration.
func decay(after, constant time.Duration) float64 {
	if after <= 0 {
		return 1
	}
	return math.Exp(-float64(after) / float64(constant))
}

const (
	// demandConstant averages the rates from which waits and retry times are expected.
	demandConstant = time.Second
	maxLevel       = 2 * levelsPerProfile
)

// demand is the rate of asks by level; lower levels go first.
type demand struct {
	at    time.Time
	count [maxLevel]float64 // decayed with demandConstant
}

func (d *demand) add(now time.Time, level int) {
	if factor := decay(now.Sub(d.at), demandConstant); factor < 1 {
		for i := range d.count {
			d.count[i] *= factor
		}
		d.at = now
	}
	d.count[level]++
}

// before returns the asks per second of the levels before level.
func (d *demand) before(now time.Time, level int) float64 {
	sum := 0.0
	for _, n := range d.count[:level] {
		sum += n
	}
	return sum * decay(now.Sub(d.at), demandConstant) / demandConstant.Seconds()
}
