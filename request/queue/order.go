package queue

import (
	"math"
	"time"

	"github.com/stoatmount/stoatmount/request/outcome"
)

// deferrableFactor lowers the score of deferrable work below that of all other work.
const deferrableFactor = 1e-6

// score returns the loss per second while item waits, weighted by how far its
// workspace is from its share.
func (q *Queue) score(t *scoringTime, item *Item) float64 {
	loss := item.lossRate(t) * q.accounts.weight(item.account)
	if item.Kind.CanWait {
		loss *= deferrableFactor
	}
	return loss
}

// best returns the index of the request to serve next, or -1.
func (q *Queue) best(now time.Time, running, limit int) int {
	if q.agedCredit >= 1 {
		if aged := q.aged(now); aged >= 0 {
			return aged
		}
	}
	t := newScoringTime(now, q.horizon(limit))
	q.accounts.pass++
	best, bestScore := -1, 0.0
	for i := range q.items {
		item := &q.items[i]
		if q.accounts.permitsShort(item, running, limit, q.capacity) > 0 {
			continue
		}
		if score := q.score(&t, item); best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// aged returns the oldest deferrable request that has waited for agedAfter, or -1.
func (q *Queue) aged(now time.Time) int {
	for i := range q.items {
		if q.items[i].Kind.CanWait && now.Sub(q.items[i].queued) >= agedAfter {
			return i
		}
	}
	return -1
}

// worst returns the index of the request to shed first: the newest of those whose
// response has the least worth, weighted by how far its workspace is over its share.
func (q *Queue) worst(now time.Time) int {
	q.accounts.pass++
	worst, worstValue := -1, math.Inf(1)
	for i := range q.items {
		item := &q.items[i]
		age := now.Sub(item.Sent) + item.ServeTime
		value := item.worthAt(age) * q.accounts.weight(item.account)
		if value <= worstValue {
			worst, worstValue = i, value
		}
	}
	return worst
}

// shedCode returns the code with which item is shed.
func (q *Queue) shedCode(item *Item) outcome.Code {
	if q.accounts.overShare(item.Workspace) {
		return outcome.WorkspaceOverShare
	}
	return outcome.Overloaded
}
