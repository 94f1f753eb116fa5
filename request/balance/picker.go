package balance

import "math"

// evenness returns how evenly requests are spread by counts of which the fraction stale has ended: 0 if
// the lowest cost decides, 1 if the probabilities are proportional to 1/cost. A reaction to counts that
// come late must be weak, or the load swings: at old counts it moves no more load than an
// endpoint has too much, which is stable whatever their age. At younger counts it may be several times as strong.
func evenness(stale float64) float64 { return stale * stale * stale }

// picker chooses one of the candidates that it is offered, with probabilities that are proportional
// to the cost to the power of -1/evenness.
type picker struct {
	evenness float64
	draw     func() float64
	chosen   int // index; -1 if none was offered
	best     float64
	ties     float64
}

func newPicker(evenness float64, draw func() float64) picker {
	return picker{evenness: evenness, draw: draw, chosen: -1}
}

// offer adds a candidate. The lowest of exponentially distributed times whose rates are the
// weights belongs to each candidate with a probability proportional to its weight.
func (p *picker) offer(index int, cost float64) {
	rank := math.Log(cost)
	if p.evenness > 0 {
		rank += p.evenness * math.Log(-math.Log(1-p.draw()))
	}
	switch {
	case p.chosen < 0 || rank < p.best:
		p.chosen, p.best, p.ties = index, rank, 1
	case rank == p.best:
		p.ties++
		if p.draw()*p.ties < 1 { // reservoir sampling: all are equally likely
			p.chosen = index
		}
	}
}
