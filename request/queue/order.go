package queue

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// canWaitFactor lowers the score of work that can wait below all other.
const canWaitFactor = 1e-6

// score is how much is lost per second while item waits, weighted by how far
// its workspace is from its share.
func (q *Queue) score(m *moment, item *Item) float64 {
	loss := item.lossRate(m) * q.spaces.weight(item.space)
	if item.Kind.CanWait {
		loss *= canWaitFactor
	}
	return loss
}

// best returns the index of the request to serve next, or -1.
func (q *Queue) best(now time.Time, running, limit int) int {
	if q.credit >= 1 {
		if aged := q.aged(now); aged >= 0 {
			return aged
		}
	}
	m := momentAt(now, q.horizon(limit))
	q.spaces.pass++
	best, bestScore := -1, 0.0
	for i := range q.items {
		item := &q.items[i]
		if q.spaces.missing(item, running, limit, q.full) > 0 {
			continue
		}
		if score := q.score(&m, item); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// aged returns the oldest request that can wait and has waited long, or -1.
func (q *Queue) aged(now time.Time) int {
	for i := range q.items {
		if q.items[i].Kind.CanWait && now.Sub(q.items[i].queued) >= agedAfter {
			return i
		}
	}
	return -1
}

// worst returns the index of the request that is shed first: the one whose
// answer is worth least, weighted by how far its workspace is over its share.
func (q *Queue) worst(now time.Time) int {
	q.spaces.pass++
	worst, worstValue := -1, math.Inf(1)
	for i := range q.items {
		item := &q.items[i]
		age := now.Sub(item.Sent) + item.ServeTime
		value := item.worthAt(age) * q.spaces.weight(item.space)
		if value <= worstValue {
			worst, worstValue = i, value
		}
	}
	return worst
}

// shedCode says whether the workspace or the whole load is to blame.
func (q *Queue) shedCode(item *Item) outcome.Code {
	if q.spaces.overShare(item.Workspace) {
		return outcome.WorkspaceOverShare
	}
	return outcome.Overloaded
}
