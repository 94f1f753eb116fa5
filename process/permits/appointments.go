package permits

import (
	"slices"
	"time"
)

const (
	// appointmentWindow is the resolution in which retry times are assigned.
	appointmentWindow = 50 * time.Millisecond
	// maxRetryAfter is the latest retry time for which room is kept, unless the ask says
	// that its caller returns earlier.
	maxRetryAfter = 4 * time.Second
	// unkeptSpread is the part of their longest time over which callers return for whom no
	// room could be kept.
	unkeptSpread = 0.5
	// appointmentEarly and appointmentLate are how far from its appointment a caller
	// may return.
	appointmentEarly = 50 * time.Millisecond
	appointmentLate  = 500 * time.Millisecond
	// alikeLate is the same for callers that are known only by workspace, rank and
	// class: in a longer time, more first calls would be taken for returning ones.
	alikeLate = 100 * time.Millisecond
	// usableCapacity is the part of the capacity that is planned for.
	usableCapacity = 0.9
	// returnedPart is the part of the capacity that returning callers get if the demand
	// of their own level fills all of it. More of it is taken from first calls, which
	// can still meet their objective. leastPart is the part for callers whose level
	// otherwise gets nothing.
	returnedPart = 0.2
	leastPart    = 0.05
)

// appointment is the time at which a refused caller was told to return.
type appointment struct {
	due       time.Time
	level     int
	workspace uint32
	rank      int
	class     uint32
	request   uint32
}

func (p *appointment) isLike(a *Ask) bool {
	return p.workspace == a.Workspace && p.rank == a.Rank && p.class == a.Class
}

// appointments hold the refused callers that are to return, in the order of their
// times. Room is kept for them: a caller that returns in time goes before the others,
// but one whose call is beyond its workspace's usual rate only before such calls.
type appointments struct {
	list []appointment
	// byRequest is whether callers return with the same request id. Until one did, the
	// first ask of the same workspace, rank and class counts as the return.
	byRequest bool
}

// add makes an appointment not before soonest, at a rate of spare per second for the
// callers of its level and those before, and not after longest. It returns the retry time.
func (s *appointments) add(now time.Time, a appointment, soonest, longest time.Duration, spare float64, draw func() float64) time.Duration {
	s.expire(now)
	perWindow := max(spare, 0.01) * appointmentWindow.Seconds()
	first := now.Add(soonest)
	next, booked, room := 0, 0.0, 0.0
	for start := first; ; start = start.Add(appointmentWindow) {
		after := start.Sub(now)
		switch {
		// The demand is beyond what can be kept: no room is kept for this caller.
		case after >= maxRetryAfter:
			return maxRetryAfter + time.Duration(draw()*float64(time.Second))
		case after >= longest:
			return time.Duration((1 - unkeptSpread*draw()) * float64(longest))
		}
		room += perWindow
		for end := start.Add(appointmentWindow); next < len(s.list) && s.list[next].due.Before(end); next++ {
			if s.list[next].level <= a.level && !s.list[next].due.Before(first) {
				booked++
			}
		}
		if booked+1 > room {
			continue
		}
		a.due = start.Add(time.Duration(draw() * float64(appointmentWindow)))
		at, _ := slices.BinarySearchFunc(s.list, a, func(x, y appointment) int { return x.due.Compare(y.due) })
		s.list = slices.Insert(s.list, at, a)
		return a.due.Sub(now)
	}
}

// take removes the appointment of a returning caller. It returns false if there is none.
func (s *appointments) take(now time.Time, a *Ask) (appointment, bool) {
	s.expire(now)
	alike := -1
	for i := range s.list {
		p := &s.list[i]
		if p.due.Sub(now) > appointmentEarly {
			break
		}
		if a.Request != 0 && p.request == a.Request {
			s.byRequest = true
			return s.remove(i), true
		}
		late := now.Sub(p.due)
		if alike < 0 && late >= 0 && late <= alikeLate && p.isLike(a) {
			alike = i
		}
	}
	if alike < 0 || s.byRequest {
		return appointment{}, false
	}
	return s.remove(alike), true
}

func (s *appointments) remove(i int) appointment {
	found := s.list[i]
	s.list = slices.Delete(s.list, i, i+1)
	return found
}

func (s *appointments) expire(now time.Time) {
	n := 0
	for n < len(s.list) && now.Sub(s.list[n].due) > appointmentLate {
		n++
	}
	s.list = slices.Delete(s.list, 0, n)
}
